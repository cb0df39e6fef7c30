package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/memory"
)

// A send that lost against a hedge goes on reading for a moment. What it reserves after the
// request has ended would never be returned.
func TestMemoryOfAnEndedRequestIsReturned(t *testing.T) {
	budget := memory.NewBudget(100)
	m := &answerMemory{budget: budget}
	assert.Assert(t, m.reserve(60))
	assert.Assert(t, !m.reserve(60))
	m.release()
	assert.Equal(t, budget.Used(), 0)
	assert.Assert(t, !m.reserve(10))
	assert.Equal(t, budget.Used(), 0)
}
