package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/memory"
)

// A send that lost against a hedge goes on reading for a moment. What it has read after the
// request has ended would never be returned.
func TestMemoryOfAnEndedRequestIsReturned(t *testing.T) {
	budget := memory.NewFairBudget(1 << 20)
	body := func() *memory.Body {
		b := budget.NewBody()
		assert.NilError(t, b.Append(context.Background(), make([]byte, 60<<10)))
		return b
	}
	var bodies answerBodies
	answer, lost := body(), body()
	bodies.add(answer)
	bodies.add(lost)
	bodies.add(nil) // a send without an answer
	each := budget.Used() / 2
	sent := answer.Move()
	bodies.release()
	assert.Equal(t, budget.Used(), each, "the answer to the caller is still held")
	sent.Release()
	assert.Equal(t, budget.Used(), 0)
	bodies.add(body())
	assert.Equal(t, budget.Used(), 0)
}
