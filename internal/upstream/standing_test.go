package upstream

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseIsParsedAndBounded(t *testing.T) {
	for _, test := range []struct {
		value string
		want  time.Duration
		ok    bool
	}{
		{"4", 4 * time.Second, true},
		{" 0.25 ", 250 * time.Millisecond, true},
		{"0", 0, true},
		{"1e1", 10 * time.Second, true},
		{"-3", 0, false},
		{"1e400", maxPause, false},
		{"99999999999999999999", maxPause, false},
		{"+Inf", maxPause, false},
		{"-Inf", 0, false},
		{"NaN", defaultPause, false},
		{"soon", defaultPause, false},
		{"Sat, 05 Dec 2026 10:00:00 GMT", defaultPause, false},
	} {
		pause, ok := parsePause(test.value)
		assert.Equal(t, pause, test.want, test.value)
		assert.Equal(t, ok, test.ok, test.value)
	}
}

func TestLatestEndOfSeveralPausesHolds(t *testing.T) {
	var notices []Notice
	s := NewStanding(func(n Notice) { notices = append(notices, n) })
	now := time.Now()
	ask := func(value string) { s.observe(dialect, 503, http.Header{"Retry-After": {value}}, "c1", now) }
	ask("4")
	ask("1")
	ask("4.1")
	assert.Assert(t, !s.Available(now.Add(4*time.Second)))
	assert.Assert(t, s.Available(now.Add(4100*time.Millisecond)))
	assert.Equal(t, len(notices), 1, "%+v", notices)
	ask("soon")
	ask("later")
	assert.Equal(t, len(notices), 2, "one notice of a value that can't be read")
	assert.Assert(t, !s.Resumed(now))
	assert.Assert(t, s.Resumed(now.Add(5*time.Second)))
	assert.Assert(t, !s.Resumed(now.Add(5*time.Second)), "reported once")
	s.observe(dialect, 503, http.Header{"Retry-After": {"0"}}, "c1", now.Add(5*time.Second))
	assert.Assert(t, s.Available(now.Add(5*time.Second)) && !s.Resumed(now.Add(5*time.Second)), "no pause")
	s.observe(dialect, 200, http.Header{"Retry-After": {"9"}}, "c1", now)
	assert.Assert(t, s.Available(now.Add(5*time.Second)), "only a 503 asks for a pause")
}

// Guards against work for a server that has said that it leaves, or that it wants to be left
// alone: in any answer, also when the request was decided and its connection open before.
func TestServerThatAsksForItIsLeftAlone(t *testing.T) {
	const leaving = "Leaving: 1\r\n"
	pause := refusal("c1")
	pause = strings.Replace(pause, "\r\n", "\r\nRetry-After: 30\r\n", 1)
	for name, reply := range map[string]string{
		"leaving, answered":          strings.Replace(answerTo("c1", "hello"), "\r\n", "\r\n"+leaving, 1),
		"leaving, failed":            "HTTP/1.1 500 X\r\nCall-Id: c1\r\nContent-Length: 0\r\n" + leaving + "\r\n",
		"leaving, refused":           strings.Replace(refusal("c1"), "\r\n", "\r\n"+leaving, 1),
		"leaving, unsigned":          "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Length: 0\r\n" + leaving + "\r\n",
		"leaving, without an id":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + leaving + "\r\n",
		"leaving, another call's":    strings.Replace(answerTo("c0", "x"), "\r\n", "\r\n"+leaving, 1) + answerTo("c1", "hello"),
		"leaving, body cut":          "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Length: 9\r\n" + leaving + "\r\nabc",
		"pause":                      pause,
		"pause, without the mark":    "HTTP/1.1 503 X\r\nCall-Id: c1\r\nContent-Length: 0\r\nRetry-After: 30\r\n\r\n",
		"pause, an unreadable value": "HTTP/1.1 503 X\r\nCall-Id: c1\r\nContent-Length: 0\r\nRetry-After: never\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			backend, server := startFakeServer(t, func(_, request int) (string, bool) {
				if request == 1 {
					return healthAnswer, false
				}
				return reply, strings.Contains(name, "cut")
			})
			first, second := mustProbe(t, server), mustProbe(t, server)
			first.Send(context.Background(), newCall())
			assert.Assert(t, !server.Standing().Available(time.Now()))
			r := second.Send(context.Background(), newCall())
			assert.Equal(t, r.Outcome, NotRun, "%v", r.Err)
			assert.ErrorIs(t, r.Err, ErrLeftAlone)
			_, _, err := server.Probe(context.Background(), time.Second)
			assert.ErrorIs(t, err, ErrLeftAlone)
			assert.Equal(t, len(backend.receivedRequests()), 3, "%v", backend.receivedRequests())
		})
	}
}

// A health check can be the first answer that says so, and the answer of another server at
// the address says nothing about this one.
func TestStandingIsLearnedFromHealthChecksOfTheServerItself(t *testing.T) {
	for name, test := range map[string]struct {
		reply     string
		available bool
	}{
		"leaving":           {"HTTP/1.1 200 OK\r\nServer-Id: s1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", false},
		"pause":             {"HTTP/1.1 503 X\r\nServer-Id: s1\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n", false},
		"of another server": {"HTTP/1.1 503 X\r\nServer-Id: s2\r\nLeaving: 1\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n", true},
	} {
		_, server := startFakeServer(t, func(int, int) (string, bool) { return test.reply, false })
		_, _, err := server.Probe(context.Background(), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, server.Standing().Available(time.Now()), test.available, name)
	}
	_, server := startFakeServer(t, func(_, request int) (string, bool) {
		if request == 1 {
			return healthAnswer, false
		}
		return "HTTP/1.1 421 X\r\nCall-Id: c1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", false
	})
	assert.Assert(t, mustProbe(t, server).Send(context.Background(), newCall()).WrongServer)
	assert.Assert(t, server.Standing().Available(time.Now()), "the answer is another server's")
}
