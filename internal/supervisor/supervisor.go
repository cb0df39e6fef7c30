// Package supervisor builds and runs the tree of an entry's parts. Each
// subfolder is one supervised child.
package supervisor

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/dispatch"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/supervisor/admin"
	"github.com/baobabstack/baobabstack/internal/supervisor/callers"
	"github.com/baobabstack/baobabstack/internal/supervisor/configuration"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/supervisor/peers"
	"github.com/baobabstack/baobabstack/internal/supervisor/prober"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/supervisor/shares"
	"github.com/baobabstack/baobabstack/internal/tracing"
	"github.com/baobabstack/baobabstack/internal/tree"
	"github.com/baobabstack/baobabstack/internal/view"
)

// flushTimeout bounds the export of the last spans.
const flushTimeout = 2 * time.Second

// Run runs an entry until the context ends, then stops it gracefully: no new
// calls, calls in flight end, then the listeners close.
func Run(ctx context.Context, s *settings.Settings) error {
	log := logs.For("supervisor")
	stopTracing, err := tracing.Setup(ctx, s.Tracing.Endpoint, s.Entry.ID)
	if err != nil {
		return err
	}
	budget := memory.NewBudget(s.Callers.MemoryBytes)
	budget.CountHTTPBuffers()
	holder := &view.Holder{}
	book := shares.NewAccountTable(clock.Boot{})
	registry := servers.NewRegistry(s.Callers.MaxBodyBytes)
	registry.SetBodyBudget(budget)
	ctl := control.New(s.Peers.Address, holder, registry, journal.Default())
	ctl.AwaitShares()
	links := peers.NewLinks()
	forwarder := peers.NewForwarder(links, clock.Boot{}, s.Callers.MaxBodyBytes)
	tickets := dispatch.NewTickets(s.Entry.ID, s.Callers.MaxInFlight, holder, clock.Boot{}, forwarder)
	dispatcher := dispatch.New(dispatch.NewAdmissionController(holder, clock.Boot{}, book, s.Callers.MaxInFlight), dispatch.NewRetryingRunner(holder, clock.Boot{}), tickets)
	handler := callers.NewHandler(holder, clock.Boot{}, dispatcher, s.Callers.MaxInFlight, tickets, budget)
	owned := peers.NewOwned(holder, clock.Boot{}, dispatcher)
	peerService := peers.NewService(s.Peers.Address, holder, ctl, links, owned, s.Callers.MaxBodyBytes)
	peerService.SetBook(book)
	if err := secure(s.Peers.TLS, links, peerService); err != nil {
		return err
	}

	root := tree.New("entry", log)
	root.Add(ctl)
	addWatchers(root, s, holder, ctl, peerService)
	front, err := callers.NewService(s.Callers, handler)
	if err != nil {
		return err
	}
	operators := admin.NewService(s.Admin.Address, holder, front.Listening)
	borrower := shares.NewService(book, holder, links, clock.Boot{}, func() bool { return ctl.Send(control.SharesUsable{}) })
	add(root, prober.NewService(holder, clock.Boot{}), peerService, borrower, operators, front)

	leave := &stopper{settings: s.Stop, control: ctl, holder: holder, unready: operators.SetUnready, callers: front, owned: tickets, log: log}
	runTree(ctx, root, log, leave.stop)
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	if err := stopTracing(flushCtx); err != nil {
		log.Warnf("the last spans are not exported: %v", err)
	}
	return nil
}

// secure switches mutual TLS between entries on, if files are named.
func secure(files settings.TLS, links *peers.Links, service *peers.Service) error {
	identity, err := peers.NewIdentity(files)
	if err != nil || identity == nil {
		return err
	}
	links.Secure(identity)
	service.Secure(identity)
	return nil
}

// runTree runs the tree until the context ends and stops it after the drain.
func runTree(ctx context.Context, root *suture.Supervisor, log logs.Logger, drain func()) {
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	done := root.ServeBackground(treeCtx)
	<-ctx.Done()
	drain()
	stopTree()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		log.Errorf("the tree ended: %v", err)
	}
}

// addWatchers adds a watcher of each list.
func addWatchers(root *suture.Supervisor, s *settings.Settings, holder *view.Holder, ctl *control.Control, p *peers.Service) {
	source := configuration.Source{URL: s.Configuration.URL, Self: s.Peers.Address, DigestAge: p.DigestAge}
	for _, name := range lists.Names() {
		root.Add(configuration.NewWatcher(name, source, holder, ctl))
	}
}

func add(root *suture.Supervisor, children ...suture.Service) {
	for _, child := range children {
		root.Add(child)
	}
}
