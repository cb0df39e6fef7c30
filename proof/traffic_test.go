package proof

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// rounds returns how often a test repeats its load: less often in a short run.
func rounds(full, short int) int {
	if testing.Short() {
		return short
	}
	return full
}

// traffic is a set of callers that call entries until it is stopped.
type traffic struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu    sync.Mutex
	tally map[string]int // answers by operation, status and outcome
}

// startTraffic starts callers of lookups and bookings, spread over the entries.
func startTraffic(t *testing.T, fleet *standin.Fleet, callers int, pause time.Duration) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	l := &traffic{cancel: cancel, tally: make(map[string]int)}
	for i := range callers {
		l.wait.Go(func() { l.call(ctx, fleet.Entries[i/2%len(fleet.Entries)], i, pause) })
	}
	t.Cleanup(func() { l.stop() })
	return l
}

func (l *traffic) call(ctx context.Context, e *standin.EntryProcess, caller int, pause time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		method, path := http.MethodGet, "/stock/lookup"
		if caller%2 == 1 {
			method, path = http.MethodPost, "/moves/book"
		}
		id := fmt.Sprintf("%d-%d", caller, n)
		res, err := standin.Call(context.WithoutCancel(ctx), method, e.URL()+path+"?id="+id, id, nil)
		key := method + " no answer"
		if err == nil {
			key = fmt.Sprint(method, " ", res.Status, " ", res.Header.Get(call.HeaderOutcome), " ", res.Header.Get(call.HeaderReason))
		}
		l.mu.Lock()
		l.tally[strings.TrimSpace(key)]++
		l.mu.Unlock()
		time.Sleep(pause)
	}
}

// stop ends the callers after their calls and returns the answers counted.
func (l *traffic) stop() map[string]int {
	l.cancel()
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// answered returns the number of answers so far.
func (l *traffic) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally["GET 200 answered"] + l.tally["POST 200 answered"]
}
