package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/settings"
)

// Guards against an answer that is lost at the end of a stop: the process exited while the
// answer was still in the socket's buffer, and the request sent behind it made the kernel
// reset the connection.
func TestStopWaitsUntilCallersHaveReadTheirAnswers(t *testing.T) {
	const (
		grace = 3 * time.Second
		get   = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
		size  = 6 << 10
	)
	began, finish := make(chan struct{}), make(chan struct{})
	server, err := httpserver.Start(httpserver.Options{
		Name: "test", Address: "127.0.0.1:0", MaxBodyBytes: 2 * size,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(began)
			<-finish
			_, _ = io.WriteString(w, strings.Repeat("a", size))
		}),
	})
	assert.NilError(t, err)
	s := &stopper{
		settings: settings.GatewayStop{Grace: settings.Duration{Duration: grace}},
		stop:     &stopState{},
		callers:  &callersListener{}, members: fleet.NewMembers(&fleetwire.Member{Id: "g-1"}), log: logs.For("gateway"),
	}
	s.callers.server.Store(server)
	c := dialSmallWindow(t, server.Address())
	_, err = io.WriteString(c, get)
	assert.NilError(t, err)
	<-began
	begin, stopped := time.Now(), make(chan struct{})
	go func() {
		defer close(stopped)
		s.run()
		server.Stop()
	}()
	time.Sleep(time.Duration(lameDuckShare * float64(grace)))
	close(finish)
	time.Sleep(150 * time.Millisecond)
	_, err = io.WriteString(c, get) // crosses the answer, which the caller has not read
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
	assert.NilError(t, c.Close())
	<-stopped
	assert.Assert(t, time.Since(begin) < time.Duration(drainShare*float64(grace)), "the stop ends once the caller has closed")
}

// dialSmallWindow returns a connection whose peer can send only little ahead of its reader.
func dialSmallWindow(t *testing.T, address string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func TestStopPlanFollowsTheGracePeriod(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, test := range []struct{ grace, lameDuckEnd, drainEnd, exit time.Duration }{
		{time.Second, 400 * time.Millisecond, 850 * time.Millisecond, 920 * time.Millisecond},
		{6 * time.Second, 2400 * time.Millisecond, 5100 * time.Millisecond, 5520 * time.Millisecond},
		{20 * time.Second, 2500 * time.Millisecond, 17 * time.Second, 18400 * time.Millisecond},
	} {
		p := newStopPlan(began, test.grace)
		assert.Equal(t, p.lameDuckEnd.Sub(began), test.lameDuckEnd, "%s", test.grace)
		assert.Equal(t, p.drainEnd.Sub(began), test.drainEnd, "%s", test.grace)
		assert.Equal(t, p.exit.Sub(began), test.exit, "%s", test.grace)
	}
}

func TestStopAcceptsOnlyRequestsThatItCanAnswer(t *testing.T) {
	began := time.Unix(1000, 0) // with a grace period of 6 s
	for _, test := range []struct {
		name                                  string
		received, timeout, expectWork, queued time.Duration
		stopping, refused                     bool
	}{
		{"no stop", 5 * time.Second, 3 * time.Second, time.Second, 0, false, false},
		{"lame-duck period, may outlast the stop", 2 * time.Second, 10 * time.Second, time.Second, 0, true, false},
		{"lame-duck period, will outlast the stop", 2 * time.Second, 10 * time.Second, 4 * time.Second, 0, true, true},
		{"lame-duck period, its deadline comes before", 2 * time.Second, time.Second, 4 * time.Second, 0, true, false},
		{"late, its deadline comes before the end", 3 * time.Second, 2 * time.Second, time.Second, 0, true, false},
		{"late, its deadline comes after the end", 3 * time.Second, 3 * time.Second, 100 * time.Millisecond, 0, true, true},
		{"lame-duck period, queued until the stop would cut it", 2 * time.Second, 10 * time.Second, time.Second, 3 * time.Second, true, true},
	} {
		var s stopState
		if test.stopping {
			s.plan.Store(newStopPlan(began, 6*time.Second))
		}
		received := began.Add(test.received)
		r := &request{received: received, deadline: received.Add(test.timeout)}
		d := placement.Demand{ServiceTime: test.expectWork, TimeLeft: test.timeout}
		assert.Equal(t, s.endsBefore(r, d, received.Add(test.queued)), test.refused, test.name)
	}
}
