package callers

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/view"
)

// TestCallBeyondTheMemoryBudgetIsNotRun checks that a call whose body does not
// fit is refused before anything else, and that refusals give back what they
// took.
func TestCallBeyondTheMemoryBudgetIsNotRun(t *testing.T) {
	budget := memory.NewBudget(firstAnswerBytes + 100)
	h := NewHandler(&view.Holder{}, clock.Boot{}, noCaller{}, 1, nil, budget)
	for body, reason := range map[string]string{strings.Repeat("x", 101): "memory", strings.Repeat("x", 100): "not-ready"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/moves/book", strings.NewReader(body)))
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get(call.HeaderReason), reason)
		assert.Equal(t, w.Header().Get(call.HeaderOutcome), "not-run")
		assert.Equal(t, budget.Used(), 0)
	}
}

func TestExpectedAnswerFollowsWhatTheServiceSends(t *testing.T) {
	g := newMemoryGate(memory.NewBudget(1 << 30))
	assert.Equal(t, g.expected("stock"), firstAnswerBytes)
	g.observe("stock", 1<<20)
	assert.Equal(t, g.expected("stock"), 1<<20)
	for range 100 * answerDecay {
		g.observe("stock", 1000)
	}
	assert.Assert(t, g.expected("stock") < 2000, "%d", g.expected("stock"))
}
