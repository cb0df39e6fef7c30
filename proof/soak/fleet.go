package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// gatewayNode is one gateway: a process that is started again when it ends.
type gatewayNode struct {
	id       string
	host     string
	settings string
	log      string
	store    *standin.Relay // its own way to the store
	slow     *standin.Link  // a slow way to it
	// report notes a violation.
	report func(id, format string, args ...any)

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed at the end of the process
	started time.Time
	calm    time.Time // no fault has touched it since
	// disturbances holds the faults that excuse the loss of answers, and touches all of
	// them and the starts of processes.
	disturbances, touches []time.Time
	stops                 []stop
	killed                bool // the present process
	closing               bool
}

func (g *gatewayNode) callers() string {
	return fmt.Sprintf("%s:%d", g.host, standin.GatewayCallersPort)
}

// dial connects a caller, over a slow link if it says so.
func (g *gatewayNode) dial(slow bool) (net.Conn, error) {
	address := g.callers()
	if slow {
		address = g.slow.Address
	}
	raw, err := net.DialTimeout("tcp", address, callerDeadline)
	return raw, errors.Wrapf(err, "connect to %s", g.id)
}

// serverNode is one server behind a relay.
type serverNode struct {
	server  *fake.Server
	relay   *standin.Relay
	service string
	zone    string
	mu      sync.Mutex
	left    time.Time // when the store took that it leaves
	// saysLeaving is set once the server's answers say that it leaves.
	saysLeaving bool
	troubles    []span // that excuse the loss of answers
}

// startGateways writes the settings of all gateways and starts them.
func (s *Soak) startGateways() error {
	var hosts []string
	for i := range s.options.Gateways {
		hosts = append(hosts, standin.GatewayHost(i))
	}
	for i, host := range hosts {
		relay, err := standin.NewRelay(s.store.Address())
		if err != nil {
			return err
		}
		g := &gatewayNode{id: fmt.Sprintf("g%d", i), host: host, store: relay, calm: time.Now(), report: s.violation}
		if g.slow, err = standin.NewLink(g.callers(), linkRate, linkDelay); err != nil {
			return err
		}
		g.settings = filepath.Join(s.dir, g.id+".toml")
		g.log = filepath.Join(s.dir, g.id+".log")
		settings := standin.GatewaySettings{
			ID: g.id, Zone: zone(i), Host: host, Seeds: hosts[:min(3, len(hosts))], Store: relay.Address,
			RetrySlack: retrySlack, ProbesPerSecond: probesPerSecond, ColdOverage: coldOverage, ColdSlack: coldSlack,
		}
		if err := settings.Write(g.settings); err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if err := g.start(s.options); err != nil {
			return err
		}
	}
	return nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%2) }

// start starts the process, and again each time it ends, as a platform does.
func (g *gatewayNode) start(o Options) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing {
		return nil
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	cmd := exec.Command(o.Binary, "gateway", "--settings", g.settings) //nolint:gosec // the program under test
	cmd.Stdout, cmd.Stderr = out, out
	if o.Defect != "" {
		cmd.Env = append(os.Environ(), "BAOBAB_DEFECT="+o.Defect)
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", o.Binary)
	}
	ended := make(chan struct{})
	g.process, g.ended, g.started, g.calm, g.killed = cmd, ended, time.Now(), time.Now(), false
	g.touches = append(g.touches, g.started)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		g.checkExit(cmd, err)
		close(ended)
		time.Sleep(restartPause)
		_ = g.start(o)
	}()
	return nil
}

// startTime is how long a process may take to listen to signals. A SIGTERM ends it at once
// before that.
const startTime = time.Second

// checkExit checks that a process ended because it was told to.
func (g *gatewayNode) checkExit(process *exec.Cmd, err error) {
	g.mu.Lock()
	killed, stopped, early := g.killed, g.stopping(), time.Since(g.started) < startTime
	g.mu.Unlock()
	status, _ := process.ProcessState.Sys().(syscall.WaitStatus)
	switch {
	case killed || stopped && err == nil:
	case stopped && early && status.Signal() == syscall.SIGTERM:
	case stopped:
		g.report("", "the process of %s failed while it stopped: %v", g.id, err)
	default:
		g.report("", "the process of %s ended by itself: %v", g.id, err)
	}
}

// stopping reports whether the present process was told to stop. The caller holds mu.
func (g *gatewayNode) stopping() bool {
	return len(g.stops) > 0 && g.stops[len(g.stops)-1].process.Equal(g.started)
}

// restartPause is how long a platform takes to start a process again.
const restartPause = 300 * time.Millisecond

// signal sends a signal to the gateway's present process.
func (g *gatewayNode) signal(sig os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calm = time.Now()
	switch sig {
	case syscall.SIGTERM:
		if !g.stopping() {
			g.stops = append(g.stops, stop{process: g.started, at: g.calm})
			go g.endGrace(g.process, g.ended)
		}
	case syscall.SIGHUP:
	default:
		g.killed = g.killed || sig == syscall.SIGKILL
		g.disturbances = append(g.disturbances, g.calm)
		g.touches = append(g.touches, g.calm)
	}
	_ = g.process.Process.Signal(sig) // it may just have ended
}

// endGrace kills a process that has not stopped by the end of its grace period.
func (g *gatewayNode) endGrace(process *exec.Cmd, ended <-chan struct{}) {
	begin := time.Now()
	select {
	case <-ended:
		return
	case <-time.After(stopGrace):
	}
	g.mu.Lock()
	if g.process != process {
		g.mu.Unlock()
		return
	}
	excused := g.killed || within(g.disturbances, begin.Add(-contact), time.Now())
	g.killed = true
	_ = process.Process.Kill() // it may just have ended
	g.mu.Unlock()
	if !excused {
		g.report("", "the process of %s still runs %s after its SIGTERM", g.id, stopGrace)
	}
}

// disturbedBetween reports whether a fault that excuses the loss of answers touched the
// gateway in a span of time.
func (g *gatewayNode) disturbedBetween(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return within(g.disturbances, from, to)
}

// touchedBetween reports whether a fault touched the gateway, or a process of it started,
// in a span of time.
func (g *gatewayNode) touchedBetween(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return within(g.touches, from, to)
}

func within(list []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// touched notes a fault on the gateway's way to the store.
func (g *gatewayNode) touched() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calm = time.Now()
	g.touches = append(g.touches, g.calm)
}

// since returns when the present process started and since when no fault touched
// it.
func (g *gatewayNode) since() (started, calm time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started, g.calm
}

// close ends the process. Its addresses are free for the next run then.
func (g *gatewayNode) close() {
	g.mu.Lock()
	g.closing = true
	ended := g.ended
	g.mu.Unlock()
	if ended != nil {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-ended
	}
	g.store.Close()
	g.slow.Close()
}

// startServer starts a server behind a relay and registers it.
func (s *Soak) startServer(service string) error {
	s.serial++
	o := fake.ServerOptions{ID: fmt.Sprintf("i-%d", s.serial), Service: service, Zone: zone(s.serial), Slots: 4, Queue: 4, Work: workTime}
	server, err := fake.NewServer("127.0.0.1:0", o)
	if err != nil {
		return errors.Wrap(err, "start a server")
	}
	relay, err := standin.NewRelay(server.Address())
	if err != nil {
		return err
	}
	server.Advertise(relay.Address)
	n := &serverNode{server: server, relay: relay, service: service, zone: o.Zone}
	s.mu.Lock()
	s.servers = append(s.servers, n)
	s.mu.Unlock()
	s.store.Put(server.Entry())
	return nil
}
