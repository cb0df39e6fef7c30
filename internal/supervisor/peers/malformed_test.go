package peers

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// fakeOwner gives one reply to each forwarded call, or the call's fields if reply is nil.
type fakeOwner struct {
	peerwire.UnimplementedPeersServer
	reply *peerwire.ForwardReply
}

// Forward implements peerwire.PeersServer.
func (o fakeOwner) Forward(_ context.Context, in *peerwire.ForwardRequest) (*peerwire.ForwardReply, error) {
	if o.reply == nil {
		return &peerwire.ForwardReply{Outcome: uint32(outcome.Answered), Status: 200, Headers: in.GetHeaders()}, nil
	}
	return o.reply, nil
}

func forwardTo(t *testing.T, reply *peerwire.ForwardReply) call.Answer {
	t.Helper()
	return forwardWith(t, nil, reply)
}

// forwardWith forwards a call with header fields.
func forwardWith(t *testing.T, header http.Header, reply *peerwire.ForwardReply) call.Answer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	peerwire.RegisterPeersServer(server, fakeOwner{reply: reply})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	clk := clock.Boot{}
	f := NewForwarder(NewLinks(), clk, 1<<20)
	return f.Forward(t.Context(), lists.VM{ID: "vm-1", Address: listener.Addr().String()}, &call.Request{Method: http.MethodPost, Header: header, Deadline: clk.Now() + 10*time.Second})
}

// Guards against a reply of another entry that no server can have given, and that reaches the
// caller as an answer: without a status as a 200.
func TestMalformedReplyOfAnotherEntryIsUnknown(t *testing.T) {
	for name, change := range map[string]func(r *peerwire.ForwardReply){
		"empty":                    func(r *peerwire.ForwardReply) { r.Reset() },
		"status 0":                 func(r *peerwire.ForwardReply) { r.Status = 0 },
		"status 100":               func(r *peerwire.ForwardReply) { r.Status = 100 },
		"status 600":               func(r *peerwire.ForwardReply) { r.Status = 600 },
		"status -1":                func(r *peerwire.ForwardReply) { r.Status = -1 },
		"blank in a name":          func(r *peerwire.ForwardReply) { r.Headers[0].Name = "X " },
		"empty name":               func(r *peerwire.ForwardReply) { r.Headers[0].Name = "" },
		"control byte in a value":  func(r *peerwire.ForwardReply) { r.Headers[0].Value = []byte("y\r\nZ: 1") },
		"status 0 of one not run":  func(r *peerwire.ForwardReply) { r.Status, r.Outcome = 0, uint32(outcome.NotRun) },
		"name of one not run":      func(r *peerwire.ForwardReply) { r.Headers[0].Name, r.Outcome = "X Y", uint32(outcome.NotRun) },
		"status 0 of one answered": func(r *peerwire.ForwardReply) { r.Status, r.Outcome = 0, uint32(outcome.Answered) },
	} {
		t.Run(name, func(t *testing.T) {
			reply := &peerwire.ForwardReply{Outcome: uint32(outcome.Answered), Status: 200, Headers: []*peerwire.Header{{Name: "X", Value: []byte("y")}}, Body: []byte("hello")}
			change(reply)
			a := forwardTo(t, reply)
			assert.Equal(t, a.Outcome, outcome.Unknown)
			assert.Equal(t, a.Status, http.StatusBadGateway)
			assert.Equal(t, a.Header.Get("X"), "")
		})
	}
	a := forwardTo(t, &peerwire.ForwardReply{Outcome: uint32(outcome.NotRun), Status: 503, Headers: []*peerwire.Header{{Name: "X", Value: []byte("é \ty")}}})
	assert.Equal(t, a.Outcome, outcome.NotRun)
	assert.Equal(t, a.Status, http.StatusServiceUnavailable)
}

// Guards against answers that are lost between two entries: the value of a field may hold bytes
// that are no UTF-8.
func TestForwardedAnswerMayHoldBytesAboveASCII(t *testing.T) {
	const value = "caf\xe9"
	a := forwardTo(t, &peerwire.ForwardReply{Outcome: uint32(outcome.Answered), Status: 200, Headers: []*peerwire.Header{{Name: "X", Value: []byte(value)}}})
	assert.Equal(t, a.Outcome, outcome.Answered)
	assert.Equal(t, a.Header.Get("X"), value)
}

// Guards against calls that can't be forwarded for the same reason.
func TestForwardedCallMayHoldBytesAboveASCII(t *testing.T) {
	const value = "caf\xe9"
	a := forwardWith(t, http.Header{"X": {value}}, nil)
	assert.Equal(t, a.Outcome, outcome.Answered)
	assert.Equal(t, a.Header.Get("X"), value)
}
