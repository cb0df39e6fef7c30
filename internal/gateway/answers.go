package gateway

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// answerMemoryShare is the share of the VM's memory that servers' answers may use until
// callers have read them. Requests may use bodyMemoryShare; the rest is for connections,
// the garbage collector and the program itself.
const answerMemoryShare = 0.25

// maxAnswersInMemory is how many answers of the largest size fit into that memory. A
// server that sends without end can't use it up alone.
const maxAnswersInMemory = 6

// answerMemoryBytes returns the memory for servers' answers on a VM with the given MB.
func answerMemoryBytes(vmMB int) int { return int(answerMemoryShare * float64(vmMB) * (1 << 20)) }

// maxAnswerBytes returns the largest body of an answer: limit, or less on a small VM.
func maxAnswerBytes(limit, vmMB int) int {
	return min(limit, answerMemoryBytes(vmMB)/maxAnswersInMemory)
}

// newAnswerBudget returns the budget for servers' answers on a VM with the given MB, and
// publishes its state.
func newAnswerBudget(vmMB int) *memory.FairBudget {
	b := memory.NewFairBudget(answerMemoryBytes(vmMB))
	metrics.GetOrCreateGauge("baobabstack_gateway_answer_bytes", func() float64 { return float64(b.Used()) })
	metrics.GetOrCreateGauge("baobabstack_gateway_answer_peak_bytes", func() float64 { return float64(b.Peak()) })
	metrics.GetOrCreateGauge("baobabstack_gateway_answers_waiting_for_memory", func() float64 { return float64(b.Waiting()) })
	return b
}

// countGivenUp counts an answer that was given up for lack of memory.
func (c *counters) countGivenUp(r *upstream.Result) {
	if errors.Is(r.Err, memory.ErrUsedUp) {
		c.givenUpAnswers.Inc()
	}
}

// answerBodies holds the bodies of the answers to one request until one of them goes to the
// caller. It is safe for concurrent use.
type answerBodies struct {
	mu       sync.Mutex
	list     []*memory.Body
	released bool
}

// add adds a body that is read; nil is allowed. After release it frees the body: a send that
// lost against another one may end later than the request.
func (b *answerBodies) add(body *memory.Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		body.Release()
		return
	}
	b.list = append(b.list, body)
}

// release frees the bodies that were not moved to the caller's answer.
func (b *answerBodies) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, body := range b.list {
		body.Release()
	}
	b.list, b.released = nil, true
}
