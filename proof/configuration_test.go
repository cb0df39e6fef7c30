package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/internal/supervisor/admin"
)

const (
	// changeBound is the time within which a change is in force everywhere.
	changeBound = 4 * time.Second
	// drainBound is the time within which a leaving server gets no new work.
	drainBound = 3 * time.Second
)

func statusOf(t *testing.T, e *standin.EntryProcess) admin.Status {
	t.Helper()
	res, err := http.Get("http://" + e.Admin + "/status")
	assert.NilError(t, err)
	defer res.Body.Close()
	var status admin.Status
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&status))
	return status
}

// waitVersion waits until the entries have a version of a list in force.
func waitVersion(ctx context.Context, t *testing.T, name lists.Name, version uint64, entries ...*standin.EntryProcess) {
	t.Helper()
	for _, e := range entries {
		eventually(ctx, t, fmt.Sprintf("%s version %d at %s", name, version, e.ID), func() bool {
			return statusOf(t, e).Lists[string(name)].Version == version
		})
	}
}

// plansFor returns a plans list that puts the sample's customer on a plan.
func plansFor(plan string) []byte {
	return bytes.Replace(standin.SamplePlans(), []byte(`"agent"`), []byte(fmt.Sprintf("%q", plan)), 1)
}

// allowancesFor returns the sample's allowances with its plan renamed.
func allowancesFor(plan string) []byte {
	renamed := bytes.ReplaceAll(standin.SampleAllowances(), []byte("plans.agent."), []byte("plans."+plan+"."))
	return append(renamed, []byte("allow_shrink = true\n")...)
}

// lookupCallers is the number of callers of lookups.
const lookupCallers = 2

// lookups calls an entry until stopped and counts answers other than 200.
type lookups struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	sent   atomic.Int64
	failed atomic.Int64
	first  atomic.Value
}

func startLookups(ctx context.Context, entry *standin.EntryProcess) *lookups {
	ctx, cancel := context.WithCancel(ctx)
	l := &lookups{cancel: cancel}
	for range lookupCallers {
		l.done.Go(func() {
			for ctx.Err() == nil {
				l.call(entry)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *lookups) call(entry *standin.EntryProcess) {
	target := fmt.Sprintf("/stock/lookup?box=%d", l.sent.Add(1))
	res, err := standin.Call(context.Background(), http.MethodGet, entry.URL()+target, "", nil)
	if err == nil && res.Status == http.StatusOK && strings.Contains(res.Body, target) {
		return
	}
	l.failed.Add(1)
	l.first.CompareAndSwap(nil, fmt.Sprintf("%v %d %s", err, res.Status, res.Body))
}

// stop ends the calls and checks that none failed.
func (l *lookups) stop(t *testing.T) {
	t.Helper()
	l.cancel()
	l.done.Wait()
	assert.Assert(t, l.sent.Load() > 0)
	assert.Equal(t, l.failed.Load(), int64(0), "first: %v", l.first.Load())
}

func TestChangeSpreadsFromTheOnlyReader(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 5, PlatformEach: true})
	for _, platform := range fleet.Platforms[1:] {
		platform.SetDown(true)
	}
	for _, name := range []lists.Name{lists.PlansName, lists.AllowancesName} {
		body := map[lists.Name][]byte{lists.PlansName: standin.SamplePlans(), lists.AllowancesName: standin.SampleAllowances()}[name]
		begin := time.Now()
		version := fleet.Platform.Publish(string(name), body)
		waitVersion(ctx, t, name, version, fleet.Entries...)
		took := time.Since(begin)
		t.Logf("%s in force at %d entries after %s", name, len(fleet.Entries), took)
		assert.Assert(t, took < changeBound, "%s took %s", name, took)
	}
}

// staleFleet returns three entries of which the last reads a stale copy of
// version 1 while version 2 of each list is in force everywhere.
func staleFleet(ctx context.Context, t *testing.T, log *syncBuffer) *standin.Fleet {
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.String())
		}
	})
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 3, PlatformEach: true, Log: log})
	fleet.Platforms[2].SetStale(lists.Names()...)
	fleet.Publish(lists.PlansName, standin.SamplePlans())
	fleet.Publish(lists.AllowancesName, standin.SampleAllowances())
	fleet.PublishServers()
	fleet.PublishVMs()
	for _, name := range lists.Names() {
		waitVersion(ctx, t, name, 2, fleet.Entries...)
	}
	return fleet
}

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func TestStaleReplicaDoesNotBringBackOldLists(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := staleFleet(ctx, t, &syncBuffer{})
	stale := fleet.Entries[2]
	platform := fleet.Platforms[2]
	// A failure ends the waiting watches, so that the old copy is read now.
	reads := platform.Reads()
	platform.SetDown(true)
	eventually(ctx, t, "reads of the failing service", func() bool { return platform.Reads() > reads+len(lists.Names()) })
	platform.SetDown(false)
	eventually(ctx, t, "old versions served again", func() bool {
		for _, name := range lists.Names() {
			assert.Equal(t, statusOf(t, stale).Lists[string(name)].Version, uint64(2), name)
		}
		return platform.StaleReads() > len(lists.Names())
	})
	eventually(ctx, t, "the stale source in the status", func() bool {
		source := statusOf(t, stale).Lists[string(lists.ServersName)].StaleSource
		return source != nil && *source == 1
	})
	for _, name := range lists.Names() {
		assert.Equal(t, statusOf(t, stale).Lists[string(name)].Version, uint64(2), name)
	}
}

func TestRestartWithStaleReplicaTakesPeersLists(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	log := &syncBuffer{}
	fleet := staleFleet(ctx, t, log)
	restarted := fleet.Entries[2]
	assert.NilError(t, restarted.Signal(syscall.SIGKILL))
	_ = restarted.Wait()
	// Lines of other entries may still be under way, so this one has a log of its own.
	own := &syncBuffer{}
	restarted.Log = io.MultiWriter(log, own)
	assert.NilError(t, fleet.StartEntry(restarted))
	assert.NilError(t, restarted.WaitReady(ctx))
	for _, name := range lists.Names() {
		waitVersion(ctx, t, name, 2, restarted)
		eventually(ctx, t, fmt.Sprintf("%s version 2 in the log", name), func() bool {
			return strings.Contains(own.String(), fmt.Sprintf("%s version 2 ", name))
		})
		// The VM list applies at once, because it names the peers to ask.
		if name != lists.VMsName {
			assert.Assert(t, !strings.Contains(own.String(), fmt.Sprintf("%s version 1 ", name)), name)
		}
	}
}

func TestRestartWithServiceDownTakesPeersLists(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 3})
	version := fleet.Publish(lists.PlansName, standin.SamplePlans())
	waitVersion(ctx, t, lists.PlansName, version, fleet.Entries...)
	fleet.Platform.SetDown(true)
	restarted := fleet.Entries[2]
	assert.NilError(t, restarted.Signal(syscall.SIGKILL))
	_ = restarted.Wait()
	assert.NilError(t, fleet.StartEntry(restarted))
	assert.NilError(t, restarted.WaitReady(ctx))
	assert.Equal(t, statusOf(t, restarted).Lists[string(lists.PlansName)].Version, version)
	calls := startLookups(ctx, restarted)
	eventually(ctx, t, "calls", func() bool { return calls.sent.Load() > 10 })
	calls.stop(t)
}

func TestPartitionHealsToTheNewestLists(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 4, PlatformEach: true})
	left, right := fleet.Entries[:2], fleet.Entries[2:]
	publishVMs := func(entries []*standin.EntryProcess, platforms []*standin.Platform) {
		var vms []lists.VM
		for _, e := range entries {
			vms = append(vms, e.VM())
		}
		for _, platform := range platforms {
			platform.Publish(string(lists.VMsName), standin.SampleVMs(vms))
		}
	}
	publishVMs(left, fleet.Platforms[:2])
	publishVMs(right, fleet.Platforms[2:])
	waitVersion(ctx, t, lists.VMsName, 2, fleet.Entries...)
	for _, platform := range fleet.Platforms[2:] {
		platform.SetStale(lists.PlansName)
	}
	fleet.Publish(lists.PlansName, standin.SamplePlans())
	waitVersion(ctx, t, lists.PlansName, 2, left...)
	// While cut, the right side restarts an entry, which only finds version 1.
	assert.NilError(t, right[1].Signal(syscall.SIGKILL))
	_ = right[1].Wait()
	assert.NilError(t, fleet.StartEntry(right[1]))
	assert.NilError(t, right[1].WaitReady(ctx))
	waitVersion(ctx, t, lists.PlansName, 1, right...)

	// The VM list heals first; the right side's copies of all else stay old.
	publishVMs(fleet.Entries, fleet.Platforms)
	begin := time.Now()
	waitVersion(ctx, t, lists.PlansName, 2, fleet.Entries...)
	assert.Assert(t, time.Since(begin) < changeBound)
	for _, e := range left {
		assert.Equal(t, statusOf(t, e).Lists[string(lists.PlansName)].Version, uint64(2))
	}
}

func TestOperatorsEditBothListsInEitherOrder(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	calls := startLookups(ctx, fleet.Entries[0])
	edits := []struct {
		first, second lists.Name
		plan          string
	}{
		{lists.PlansName, lists.AllowancesName, "planner"},
		{lists.AllowancesName, lists.PlansName, "agent"},
	}
	for _, edit := range edits {
		bodies := map[lists.Name][]byte{lists.PlansName: plansFor(edit.plan), lists.AllowancesName: allowancesFor(edit.plan)}
		version := fleet.Publish(edit.first, bodies[edit.first])
		for _, e := range fleet.Entries {
			eventually(ctx, t, "the first list waits", func() bool {
				list := statusOf(t, e).Lists[string(edit.first)]
				return list.Waiting && list.RefusedVersion == version && list.Version == version-1
			})
		}
		sent := calls.sent.Load()
		eventually(ctx, t, "calls between the edits", func() bool { return calls.sent.Load() > sent+10 })
		fleet.Publish(edit.second, bodies[edit.second])
		waitVersion(ctx, t, edit.first, version, fleet.Entries...)
		waitVersion(ctx, t, edit.second, version, fleet.Entries...)
	}
	calls.stop(t)
}

func TestBadListBetweenTwoGoodOnes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	calls := startLookups(ctx, fleet.Entries[0])
	bad := map[string][]byte{
		"empty":     {},
		"truncated": standin.SamplePlans()[:len(standin.SamplePlans())-20],
		"oversize":  append(standin.SamplePlans(), bytes.Repeat([]byte("#\n"), lists.MaxBytes/2)...),
		"wiped":     []byte("[end]\ncustomers = 0\n"),
	}
	for what, body := range bad {
		version := fleet.Publish(lists.PlansName, body)
		for _, e := range fleet.Entries {
			eventually(ctx, t, what+" list refused", func() bool {
				list := statusOf(t, e).Lists[string(lists.PlansName)]
				return list.RefusedVersion == version && list.Version < version && !list.Waiting && list.Reason != ""
			})
		}
		good := fleet.Publish(lists.PlansName, standin.SamplePlans())
		waitVersion(ctx, t, lists.PlansName, good, fleet.Entries...)
	}
	calls.stop(t)
}

func TestServersListThatLosesAServiceCostsNoCall(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	calls := startLookups(ctx, fleet.Entries[0])
	moves := []lists.Server{fleet.Servers["moves-1"].Info, fleet.Servers["moves-2"].Info}
	version := fleet.Publish(lists.ServersName, standin.SampleServers(moves))
	waitVersion(ctx, t, lists.ServersName, version, fleet.Entries...)
	sent := calls.sent.Load()
	eventually(ctx, t, "calls after the loss", func() bool { return calls.sent.Load() > sent+20 })
	assert.Equal(t, len(statusOf(t, fleet.Entries[0]).Lists[string(lists.ServersName)].Suspect), 2)
	calls.stop(t)
}

func TestServerThatTheListMarksLeavingGetsNoNewWork(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	work := func(id string) standin.ServerOptions {
		return standin.ServerOptions{ID: id, Slots: 6, Queue: 20, Work: 50 * time.Millisecond}
	}
	fleet := startFleet(ctx, t, standin.FleetOptions{
		Entries: 2, Servers: map[string][]standin.ServerOptions{"stock": {work("stock-1"), work("stock-2")}},
	})
	var calls []*lookups
	for _, e := range fleet.Entries {
		calls = append(calls, startLookups(ctx, e))
	}
	leaving := fleet.Servers["stock-1"]
	eventually(ctx, t, "work at the server", func() bool { return len(leaving.Ran()) > 0 })
	leaving.Info.State = lists.Leaving
	fleet.PublishServers()
	// The service goes down as soon as one entry may have read the change.
	waitVersion(ctx, t, lists.ServersName, 2, fleet.Entries[0])
	fleet.Platform.SetDown(true)
	time.Sleep(drainBound)
	ran, others := len(leaving.Ran()), len(fleet.Servers["stock-2"].Ran())
	eventually(ctx, t, "work at the other server", func() bool { return len(fleet.Servers["stock-2"].Ran()) > others+20 })
	assert.Equal(t, len(leaving.Ran()), ran)
	for _, c := range calls {
		c.stop(t)
	}
}
