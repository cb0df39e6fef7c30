package configuration

import (
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/readers"
	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/view"
)

const giveUp = 30 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > giveUp {
			t.Fatalf("never: %s", what)
		}
	}
}

// largeFleet returns VMs of which not all watch, a reader and another entry.
func largeFleet(t *testing.T) (vms []lists.VM, reader, other string) {
	t.Helper()
	for i := range readers.WatchAllUpTo + 8 {
		vms = append(vms, lists.VM{ID: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), DataCentre: "modjo", State: lists.Live})
	}
	for _, vm := range vms {
		if readers.Watches(vm.Address, vms) {
			reader = vm.Address
		} else {
			other = vm.Address
		}
	}
	assert.Assert(t, reader != "" && other != "")
	return vms, reader, other
}

// entry runs the four watchers of an entry against a platform.
type entry struct {
	holder    view.Holder
	digestAge atomic.Int64
}

func startEntry(t *testing.T, self, url string) *entry {
	t.Helper()
	e := &entry{}
	c := control.New(self, &e.holder, servers.NewRegistry(1<<20), journal.New(16))
	go func() { _ = c.Serve(t.Context()) }()
	c.Send(control.PeersAsked{})
	source := Source{URL: url, Self: self, DigestAge: func() time.Duration { return time.Duration(e.digestAge.Load()) }}
	for _, name := range lists.Names() {
		go func() { _ = NewWatcher(name, source, &e.holder, c).Serve(t.Context()) }()
	}
	return e
}

func TestOnlyReadersReadWhilePeersSendDigests(t *testing.T) {
	vms, reader, other := largeFleet(t)
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	defer platform.SetDown(true)
	platform.Publish(string(lists.VMsName), standin.SampleVMs(vms))
	platform.Publish(string(lists.PlansName), standin.SamplePlans())
	platform.Publish(string(lists.AllowancesName), standin.SampleAllowances())

	idleEntry := startEntry(t, other, server.URL)
	eventually(t, "the VM list at the entry that does not watch", func() bool { return idleEntry.holder.Load().VMs != nil })
	reads := platform.Reads()
	watching := startEntry(t, reader, server.URL)
	eventually(t, "plans at the reader", func() bool { return watching.holder.Load().Plans != nil })
	assert.Assert(t, idleEntry.holder.Load().Plans == nil)
	assert.Assert(t, reads <= 2, "%d reads by an entry that gets lists from peers", reads)

	// Without digests it reads the service itself.
	idleEntry.digestAge.Store(int64(readers.MaxDigestAge + 1))
	eventually(t, "plans at the entry without digests", func() bool { return idleEntry.holder.Load().Plans != nil })
}

func TestListThatFoundNoRoomInTheQueueIsReadAgain(t *testing.T) {
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	platform.Publish(string(lists.VMsName), standin.SampleVMs(nil))
	c := control.New("", &view.Holder{}, servers.NewRegistry(1<<20), journal.New(1))
	for c.Send(control.StopRequested{}) {
	}
	w := NewWatcher(lists.VMsName, Source{URL: server.URL}, &view.Holder{}, c)
	assert.ErrorContains(t, w.read(t.Context(), poll), "the control queue is full")
	assert.Equal(t, w.last, uint64(0))
}
