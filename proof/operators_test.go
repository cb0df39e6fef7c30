package proof

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
)

func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	cmd := exec.CommandContext(t.Context(), binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run()
	return out.String(), cmd.ProcessState.ExitCode()
}

func TestOperatorsCommands(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1})
	entry := fleet.Entries[0]
	_, err := standin.Call(ctx, http.MethodGet, entry.URL()+"/stock/lookup", "", nil)
	assert.NilError(t, err)

	out, code := runCommand(t, "status", "--admin", entry.Admin)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "ready: true") && strings.Contains(out, "stock-1"), out)
	out, code = runCommand(t, "status", "--json", "--admin", entry.Admin)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.HasPrefix(out, "{"), out)
	out, code = runCommand(t, "explain", "--admin", entry.Admin, "plans")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "plans"), out)
	out, code = runCommand(t, "explain", "--admin", entry.Admin, "no-such-server")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "no decision"), out)
	free, err := standin.FreeAddress()
	assert.NilError(t, err)
	out, code = runCommand(t, "status", "--admin", free)
	assert.Equal(t, code, 1, out)
	assert.Assert(t, strings.Contains(out, "check the address"), out)
	_, code = runCommand(t, "status")
	assert.Equal(t, code, 2)
	_, code = runCommand(t, "version")
	assert.Equal(t, code, 0)

	res, err := http.Get("http://" + entry.Admin + "/metrics")
	assert.NilError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	for _, name := range []string{`baobab_calls_total{service="stock",outcome="answered",reason=""}`, "baobab_call_seconds", `baobab_connections{listener="callers"}`} {
		assert.Assert(t, strings.Contains(string(text), name), name)
	}
}

// spans collects what entries export over OTLP/HTTP.
type spans struct {
	mu  sync.Mutex
	all []*trace.Span
}

func (s *spans) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var in collector.ExportTraceServiceRequest
	if proto.Unmarshal(data, &in) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, resource := range in.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			s.all = append(s.all, scope.GetSpans()...)
		}
	}
}

func (s *spans) of(traceID string) (count int, outcomes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes = true
	for _, span := range s.all {
		if !strings.EqualFold(hexOf(span.GetTraceId()), traceID) {
			continue
		}
		count++
		found := false
		for _, a := range span.GetAttributes() {
			found = found || (a.GetKey() == "baobabstack.outcome" && a.GetValue().GetStringValue() == "answered")
		}
		outcomes = outcomes && found
	}
	return count, outcomes
}

func hexOf(b []byte) string {
	const digits = "0123456789abcdef"
	var out strings.Builder
	for _, c := range b {
		out.WriteByte(digits[c>>4])
		out.WriteByte(digits[c&15])
	}
	return out.String()
}

// A booking with a ticket that another entry owns passes two entries. Each hop
// has a span with the outcome, and all share one trace.
func TestSpansOfTwoHopsShareATrace(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	collected := &spans{}
	server := httptest.NewServer(collected)
	defer server.Close()
	t.Setenv("OTEL_BSP_SCHEDULE_DELAY", "100")
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2, TracingEndpoint: server.URL + "/v1/traces"})
	ticket := mint(ctx, t, fleet.Entries[0])
	res := book(ctx, fleet.Entries[1], ticket, "traced", testLimit)
	assert.Equal(t, res.Header.Get(call.HeaderOutcome), "answered")
	id := res.Header.Get(call.HeaderTrace)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if n, outcomes := collected.of(id); n >= 3 && outcomes {
			return
		}
		n, outcomes := collected.of(id)
		assert.Assert(t, time.Now().Before(end), "%d spans of trace %s, with outcomes: %t", n, id, outcomes)
	}
}

// A collector that takes connections and never answers delays neither calls nor
// the stop beyond the bound of the last export.
func TestHangingCollectorBlocksNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer hanging.Close()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1, TracingEndpoint: "http://" + hanging.Addr().String() + "/v1/traces"})
	entry := fleet.Entries[0]
	for range 3000 {
		res, err := standin.Call(ctx, http.MethodGet, entry.URL()+"/stock/lookup", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(call.HeaderOutcome), "answered")
	}
	assert.NilError(t, entry.Signal(15))
	stopped := make(chan struct{})
	go func() {
		_ = entry.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the entry did not stop")
	}
}
