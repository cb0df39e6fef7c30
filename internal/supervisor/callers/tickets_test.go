package callers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/view"
)

type noCaller struct{}

func (noCaller) Call(context.Context, *call.Request) call.Answer { panic("a call got through") }

// TestRefusalsClaimNothingForTickets checks that an entry that is full or not
// ready says not-run only to calls without a ticket.
func TestRefusalsClaimNothingForTickets(t *testing.T) {
	for _, maxInFlight := range []int{0, 1} {
		h := NewHandler(&view.Holder{}, clock.Boot{}, noCaller{}, maxInFlight, nil, memory.NewBudget(1<<20))
		for ticket, want := range map[string]string{"": "not-run", "any": "unknown"} {
			r := httptest.NewRequest(http.MethodPost, "/moves/book", nil)
			if ticket != "" {
				r.Header.Set(call.HeaderTicket, ticket)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get(call.HeaderOutcome), want)
		}
	}
}
