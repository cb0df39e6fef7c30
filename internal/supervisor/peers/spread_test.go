package peers

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/view"
)

const (
	// changeBound is the time within which a change is in force everywhere.
	changeBound = 4 * time.Second
	// controlBytes is what a node may spend on control, in bytes a second.
	controlBytes = 28_000
	giveUp       = 30 * time.Second
)

// node is the control part of an entry in this process.
type node struct {
	address string
	holder  *view.Holder
	control *control.Control
	service *Service
}

func newNode(t *testing.T, address string) *node {
	t.Helper()
	holder := &view.Holder{}
	c := control.New(address, holder, servers.NewRegistry(1<<20), journal.New(16))
	return &node{address: address, holder: holder, control: c, service: NewService(address, holder, c, NewLinks(), nil, lists.MaxBytes)}
}

// start runs the node until the test ends.
func (n *node) start(t *testing.T) {
	ctx := t.Context()
	go func() { _ = n.control.Serve(ctx) }()
	go func() {
		if err := n.service.Serve(ctx); ctx.Err() == nil {
			t.Errorf("%s ended early: %v", n.address, err)
		}
	}()
}

func (n *node) give(name lists.Name, version uint64, body []byte) {
	n.control.Send(control.ListArrived{Name: name, Version: version, Body: body, Source: "test"})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := standin.FreeAddress()
	assert.NilError(t, err)
	return address
}

func vmList(addresses ...string) []byte {
	var vms []lists.VM
	for i, address := range addresses {
		vms = append(vms, lists.VM{ID: fmt.Sprintf("vm-%d", i), Address: address, DataCentre: "modjo", State: lists.Live})
	}
	return standin.SampleVMs(vms)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > giveUp {
			t.Fatalf("never: %s", what)
		}
	}
}

// One of 40 entries gets a new version; all others get it from peers, and what
// that and the rounds cost each one stays inside the budget for control.
func TestOneReaderServesFortyEntries(t *testing.T) {
	const entries = 40
	var addresses []string
	for range entries {
		addresses = append(addresses, freeAddress(t))
	}
	var nodes []*node
	for _, address := range addresses {
		n := newNode(t, address)
		n.start(t)
		n.give(lists.VMsName, 1, vmList(addresses...))
		n.give(lists.PlansName, 1, standin.SamplePlans())
		n.give(lists.AllowancesName, 1, standin.SampleAllowances())
		nodes = append(nodes, n)
	}
	inForce := func(version uint64) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.holder.Load().Lists[lists.PlansName].Version < version {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "the first version everywhere", inForce(1))

	sent := func() uint64 { return peerBytes("Exchange", "sent").Get() + peerBytes("Pull", "sent").Get() }
	before, begin := sent(), time.Now()
	nodes[0].give(lists.PlansName, 2, standin.SamplePlans())
	eventually(t, "the second version everywhere", inForce(2))
	took := time.Since(begin)
	time.Sleep(2 * time.Second)
	rate := float64(sent()-before) / time.Since(begin).Seconds() / entries
	t.Logf("%d entries: in force after %s, %.0f bytes a second sent by each", entries, took, rate)
	assert.Assert(t, took < changeBound, "took %s", took)
	assert.Assert(t, rate < controlBytes, "%.0f bytes a second", rate)
}

// started returns the time from the arrival of the lists until the entry is
// ready, with one peer at the address.
func started(t *testing.T, peer string) time.Duration {
	t.Helper()
	n := newNode(t, freeAddress(t))
	n.start(t)
	begin := time.Now()
	n.give(lists.VMsName, 1, vmList(n.address, peer))
	n.give(lists.PlansName, 1, standin.SamplePlans())
	n.give(lists.AllowancesName, 1, standin.SampleAllowances())
	n.give(lists.ServersName, 1, standin.SampleServers([]lists.Server{
		{ID: "s1", Service: "stock", Address: "127.0.0.1:1", State: lists.Live},
	}))
	eventually(t, "ready", func() bool { return n.holder.Load().Ready })
	return time.Since(begin)
}

// A silent peer may hold newer lists, so the entry waits for it up to the bound
// and then serves with what the service gave.
func TestSilentPeerDelaysReadinessUpToTheBound(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	assert.Assert(t, started(t, silent.Addr().String()) >= askBound)
}

// A peer without a process holds nothing, so that a whole fleet can start.
func TestPeerThatRefusesConnectionsDelaysNothing(t *testing.T) {
	assert.Assert(t, started(t, freeAddress(t)) < askBound)
}

func TestDigestFromOutsideTheVMListOpensNoConnection(t *testing.T) {
	n := newNode(t, freeAddress(t))
	n.start(t)
	n.give(lists.VMsName, 1, vmList(n.address))
	eventually(t, "the VM list", func() bool { return n.holder.Load().VMs != nil })
	age := n.service.DigestAge()
	_, err := n.service.Exchange(t.Context(), &peerwire.Digest{
		Address: "127.0.0.1:9", Versions: map[string]uint64{"plans": 9, "vms": 9, "unknown": 1 << 63},
	})
	assert.NilError(t, err)
	n.service.links.mu.Lock()
	defer n.service.links.mu.Unlock()
	assert.Equal(t, len(n.service.links.links), 0)
	assert.Assert(t, n.service.DigestAge() >= age, "counts as a digest")
}

func TestOfferIsTakenOnlyWithoutAVMList(t *testing.T) {
	n := newNode(t, freeAddress(t))
	n.start(t)
	offer := func(version uint64, addresses ...string) {
		_, err := n.service.Offer(t.Context(), &peerwire.OfferRequest{Version: version, Body: vmList(addresses...)})
		assert.NilError(t, err)
	}
	offer(3, n.address)
	eventually(t, "the VM list", func() bool { return n.holder.Load().VMs != nil })
	offer(9, n.address, "127.0.0.1:9")
	n.give(lists.PlansName, 1, standin.SamplePlans())
	n.give(lists.AllowancesName, 1, standin.SampleAllowances())
	eventually(t, "an event after the offer", func() bool { return n.holder.Load().Plans != nil })
	assert.Equal(t, n.holder.Load().Lists[lists.VMsName].Version, uint64(3))
}

// The only connection over which an entry hears of changes swallows all bytes
// without a reset.
func TestChangeSpreadsAfterTheConnectionWentSilent(t *testing.T) {
	source, reader := newNode(t, freeAddress(t)), newNode(t, freeAddress(t))
	relay, err := standin.NewRelay(source.address)
	assert.NilError(t, err)
	defer relay.Close()
	source.start(t)
	reader.start(t)
	source.give(lists.VMsName, 1, vmList(source.address))
	reader.give(lists.VMsName, 1, vmList(reader.address, relay.Address))
	source.give(lists.AllowancesName, 1, standin.SampleAllowances())
	source.give(lists.PlansName, 1, standin.SamplePlans())
	has := func(version uint64) func() bool {
		return func() bool { return reader.holder.Load().Lists[lists.PlansName].Version == version }
	}
	eventually(t, "the first version", has(1))
	relay.Silence()
	begin := time.Now()
	source.give(lists.PlansName, 2, standin.SamplePlans())
	eventually(t, "the second version", has(2))
	assert.Assert(t, time.Since(begin) < changeBound, "took %s", time.Since(begin))
}

func TestLinksOutliveTheListByALinger(t *testing.T) {
	links := NewLinks()
	_, err := links.Client("127.0.0.1:9")
	assert.NilError(t, err)
	links.Keep(nil, time.Hour)
	links.Keep(nil, time.Hour+linkLinger-1)
	assert.Equal(t, len(links.links), 1)
	links.Keep([]lists.VM{{Address: "127.0.0.1:9"}}, time.Hour+linkLinger)
	links.Keep(nil, 2*time.Hour)
	assert.Equal(t, len(links.links), 1)
	links.Keep(nil, 2*time.Hour+linkLinger)
	assert.Equal(t, len(links.links), 0)
}
