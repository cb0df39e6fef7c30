package peers

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

const (
	pullTimeout = time.Second
	// maxPulls bounds the pulls of one list that run at a time.
	maxPulls = 2
	// maxRepulls bounds the pulls of a version that is refused here but in force
	// at peers.
	maxRepulls = 3
	// maxRepullKeys bounds the versions that are remembered for maxRepulls.
	maxRepullKeys = 64
)

// pulls bounds the pulls of lists. The zero value is ready.
type pulls struct {
	mu      sync.Mutex
	running map[lists.Name]int
	repulls map[versionKey]int
}

type versionKey struct {
	name    lists.Name
	version uint64
}

// begin reports whether a version may be pulled now. Each true needs an end.
func (p *pulls) begin(snapshot *view.Snapshot, name lists.Name, version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running, p.repulls = make(map[lists.Name]int), make(map[versionKey]int)
	}
	if version <= snapshot.Lists[name].Version || p.running[name] >= maxPulls {
		return false
	}
	if version <= snapshot.Seen[name] {
		if len(p.repulls) >= maxRepullKeys {
			clear(p.repulls)
		}
		key := versionKey{name: name, version: version}
		if p.repulls[key] >= maxRepulls {
			return false
		}
		p.repulls[key]++
	}
	p.running[name]++
	return true
}

func (p *pulls) end(name lists.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name]--
}

// Pull returns a list in force.
func (s *Service) Pull(_ context.Context, in *peerwire.PullRequest) (*peerwire.PullReply, error) {
	list := s.holder.Load().Lists[lists.Name(in.GetList())]
	if list.Version <= in.GetNewerThan() {
		return &peerwire.PullReply{}, nil
	}
	return &peerwire.PullReply{Version: list.Version, Body: list.Body, Compared: list.Compared}, nil
}

// pullNewer pulls the lists of which the digest of the peer at the address names
// newer versions. Unknown lists are ignored.
func (s *Service) pullNewer(ctx context.Context, address string, d *peerwire.Digest) {
	for _, name := range lists.Names() {
		snapshot := s.holder.Load()
		if defect.On("config-no-pull") || !s.pulls.begin(snapshot, name, d.GetVersions()[string(name)]) {
			continue
		}
		if err := s.pull(ctx, address, name, snapshot.Lists[name].Version); err != nil {
			s.log.Debugf("pull %s from %s: %v", name, address, err)
		}
		s.pulls.end(name)
	}
}

func (s *Service) pull(ctx context.Context, address string, name lists.Name, newerThan uint64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client, err := s.links.Client(address)
	if err != nil {
		return err
	}
	reply, err := client.Pull(ctx, &peerwire.PullRequest{List: string(name), NewerThan: newerThan},
		grpc.UseCompressor(gzip.Name))
	if err != nil {
		return errors.WithStack(err)
	}
	if reply.GetVersion() <= newerThan {
		return nil
	}
	arrived := control.ListArrived{
		Name: name, Version: reply.GetVersion(), Body: reply.GetBody(), Source: address,
		Peer: true, Compared: reply.GetCompared(),
	}
	if !s.control.Send(arrived) {
		return fault.New(fault.Internal, string(name), "the control queue is full", "the list is pulled again after the next digest")
	}
	return nil
}
