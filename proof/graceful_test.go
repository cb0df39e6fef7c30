package proof

import (
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

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
)

const (
	// stopLimit is the promise: new work stops within it.
	stopLimit    = 3 * time.Second
	loadCallers  = 24
	loadPatience = time.Minute
)

// balancer sends load to the entries that are ready, as the platform's does: it
// looks at readiness now and then, and lags.
type balancer struct {
	t       *testing.T
	fleet   *standin.Fleet
	ready   [2]atomic.Bool
	stopped atomic.Int64 // when the entry was told to stop, as Unix nanoseconds
	calls   atomic.Int64
	cut     atomic.Int64
	late    atomic.Int64 // calls that the leaving entry answered after stopLimit
	refused atomic.Int64
	wrong   atomic.Int64
}

const balancerLag = 500 * time.Millisecond

func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i, entry := range b.fleet.Entries {
			res, err := http.Get("http://" + entry.Admin + "/readyz")
			b.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
			if err == nil {
				res.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(balancerLag):
		}
	}
}

// load sends lookups and bookings over connections that stay open.
func (b *balancer) load(ctx context.Context, id int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		i := (id + n) % 2
		if !b.ready[i].Load() {
			i = 1 - i
		}
		b.one(client, i, fmt.Sprintf("%d-%d", id, n))
	}
}

func (b *balancer) one(client *http.Client, i int, text string) {
	method, path, body := http.MethodGet, "/stock/lookup?box="+text, ""
	if strings.HasSuffix(text, "3") {
		method, path, body = http.MethodPost, "/moves/book", text
	}
	req, err := http.NewRequest(method, b.fleet.Entries[i].URL()+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+standin.SampleKey)
	b.calls.Add(1)
	res, err := client.Do(req)
	if err != nil {
		b.t.Logf("cut: %s %s: %v", method, path, err)
		b.cut.Add(1)
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		b.cut.Add(1)
		return
	}
	b.judge(i, res, data, path, body)
}

func (b *balancer) judge(i int, res *http.Response, data []byte, path, body string) {
	switch res.Header.Get(call.HeaderOutcome) {
	case "answered":
		var reply standin.Reply
		if json.Unmarshal(data, &reply) != nil || reply.Target != path || reply.Body != body {
			b.wrong.Add(1)
		}
		stopped := b.stopped.Load()
		if i == 0 && stopped != 0 && time.Since(time.Unix(0, stopped)) > stopLimit {
			b.late.Add(1)
		}
	case "not-run":
		b.refused.Add(1)
	default:
		b.cut.Add(1)
	}
}

// A full load goes through two entries while one of them stops.
func TestGracefulStopCutsNothing(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*standin.Fleet)
	}{
		{"list lags", func(*standin.Fleet) {}},
		{"configuration service down", func(f *standin.Fleet) { f.Platform.SetDown(true) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), loadPatience)
			defer cancel()
			fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
			test.prepare(fleet)
			b := &balancer{t: t, fleet: fleet}
			b.ready[0].Store(true)
			b.ready[1].Store(true)
			loadCtx, stopLoad := context.WithCancel(ctx)
			var all sync.WaitGroup
			all.Go(func() { b.watch(loadCtx) })
			for id := range loadCallers {
				all.Go(func() { b.load(loadCtx, id) })
			}
			time.Sleep(500 * time.Millisecond)
			leaving := fleet.Entries[0]
			b.stopped.Store(time.Now().UnixNano())
			assert.NilError(t, leaving.Signal(syscall.SIGTERM))
			assert.NilError(t, leaving.Wait())
			took := time.Since(time.Unix(0, b.stopped.Load()))
			time.Sleep(200 * time.Millisecond)
			stopLoad()
			all.Wait()
			t.Logf("%d calls, %d refused, stopped in %s", b.calls.Load(), b.refused.Load(), took.Round(time.Millisecond))
			assert.Equal(t, b.cut.Load(), int64(0))
			assert.Equal(t, b.wrong.Load(), int64(0))
			assert.Equal(t, b.late.Load(), int64(0))
		})
	}
}

// A call that runs when its entry is told to stop, twice, is answered whole; a
// new one after the lame-duck time is refused as not run.
func TestStopToldTwiceAnswersWhatRuns(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), loadPatience)
	defer cancel()
	slow := sampleServer("moves-1")
	slow.Work = 4 * time.Second
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1, Servers: map[string][]standin.ServerOptions{
		"stock": {sampleServer("stock-1")}, "moves": {slow},
	}})
	entry := fleet.Entries[0]
	type result struct {
		res standin.Response
		err error
	}
	running := make(chan result, 1)
	go func() {
		res, err := standin.Call(ctx, http.MethodPost, entry.URL()+"/moves/book", "long", nil)
		running <- result{res, err}
	}()
	waitRan(t, fleet.Servers["moves-1"].Server)
	assert.NilError(t, entry.Signal(syscall.SIGTERM))
	waitUnready(t, entry)
	assert.NilError(t, entry.Signal(syscall.SIGTERM))
	res, err := standin.Call(ctx, http.MethodGet, entry.URL()+"/stock/lookup", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(call.HeaderOutcome), "answered", "in the lame-duck time")
	waitRefused(ctx, t, entry)
	got := <-running
	assert.NilError(t, got.err)
	assert.Equal(t, got.res.Header.Get(call.HeaderOutcome), "answered")
	assert.NilError(t, entry.Wait())
}

func waitRan(t *testing.T, s *standin.Server) {
	t.Helper()
	for end := time.Now().Add(loadPatience); len(s.Ran()) == 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

func waitUnready(t *testing.T, e *standin.EntryProcess) {
	t.Helper()
	for end := time.Now().Add(loadPatience); ; time.Sleep(5 * time.Millisecond) {
		res, err := http.Get("http://" + e.Admin + "/readyz")
		assert.NilError(t, err)
		res.Body.Close()
		if res.StatusCode == http.StatusServiceUnavailable {
			return
		}
		assert.Assert(t, time.Now().Before(end))
	}
}

func waitRefused(ctx context.Context, t *testing.T, e *standin.EntryProcess) {
	t.Helper()
	for end := time.Now().Add(loadPatience); ; time.Sleep(50 * time.Millisecond) {
		res, err := standin.Call(ctx, http.MethodGet, e.URL()+"/stock/lookup", "", nil)
		assert.NilError(t, err)
		if res.Header.Get(call.HeaderOutcome) == "not-run" {
			return
		}
		assert.Assert(t, time.Now().Before(end))
	}
}
