package servers

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// BenchmarkExchange measures one call over a reused loopback connection. The server
// runs in the same process.
func BenchmarkExchange(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("booked"))
	}))
	defer backend.Close()
	s := testServer(b, backend.Listener.Addr().String())
	clk := clock.Boot{}
	b.ReportAllocs()
	for b.Loop() {
		result := s.Do(b.Context(), clk, bookingOf("move", clk.Now()+time.Minute))
		if result.Outcome != outcome.Answered {
			b.Fatal(result.Err)
		}
	}
}
