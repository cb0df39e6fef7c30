package callers

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/memory"
)

// memoryGate holds the bodies of calls to the process's budget.
type memoryGate struct {
	budget  *memory.Budget
	answers sync.Map // service name to *atomic.Int64, the expected answer's bytes
}

const (
	// firstAnswerBytes is expected of a service that has not answered yet.
	firstAnswerBytes = 16 << 10
	// answerDecay is the part by which a smaller answer lowers what is expected.
	answerDecay = 64
)

var refusedForMemory = metrics.NewCounter(`baobab_refused_total{reason="memory"}`)

func newMemoryGate(b *memory.Budget) *memoryGate {
	metrics.GetOrCreateGauge("baobab_body_bytes", func() float64 { return float64(b.Used()) })
	return &memoryGate{budget: b}
}

// enter reserves the bytes that a call will hold, before its body is copied, and
// returns the function that gives them back; ok is false if they don't fit.
func (g *memoryGate) enter(r *http.Request, service string) (leave func(), ok bool) {
	n := bodyBytes(r) + g.expected(service)
	if !g.budget.Reserve(n) {
		refusedForMemory.Inc()
		return nil, false
	}
	return func() { g.budget.Release(n) }, true
}

// observe notes the size of an answer. Larger ones count at once, smaller ones
// little by little.
func (g *memoryGate) observe(service string, bytes int) {
	v, _ := g.answers.LoadOrStore(service, &atomic.Int64{})
	expected := v.(*atomic.Int64)
	old := expected.Load()
	next := old - (old-int64(bytes))/answerDecay
	if int64(bytes) > old {
		next = int64(bytes)
	}
	// A lost race loses one observation.
	expected.CompareAndSwap(old, next)
}

func (g *memoryGate) expected(service string) int {
	if v, ok := g.answers.Load(service); ok {
		return int(v.(*atomic.Int64).Load())
	}
	return firstAnswerBytes
}

// bodyBytes returns the length of a request's body, which the library has read
// whole.
func bodyBytes(r *http.Request) int {
	if body, ok := r.Body.(interface{ Left() int }); ok {
		return body.Left()
	}
	return int(max(r.ContentLength, 0))
}
