package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopCase is a request around a stop; its times are seconds after the SIGTERM.
type stopCase struct {
	name               string
	sent, whole, ended float64
	status             int
	signed, lost       bool
	behind             bool
	visits             []visit
	want               bool
}

var sigterm = time.Unix(1000, 0)

func after(seconds float64) time.Time {
	if seconds == 0 {
		return time.Time{}
	}
	return sigterm.Add(time.Duration(seconds * float64(time.Second)))
}

func worked(from, to float64) []visit {
	return []visit{{server: &serverNode{}, at: after(from), began: after(from), end: after(to)}}
}

var stopCases = []stopCase{
	{name: "passed on", sent: 1, whole: 1.1, ended: 1.2, lost: true, visits: worked(1.1, 1.15), want: true},
	{name: "passed on behind another", sent: 1, whole: 1.1, ended: 1.2, lost: true, behind: true, visits: worked(1.1, 1.15), want: true},
	{name: "turned away by its server", sent: 1, whole: 1.1, ended: 1.2, lost: true, visits: []visit{{server: &serverNode{}, at: after(1.1)}}, want: true},
	{name: "whole for 0.3 s", sent: 1, whole: 1.1, ended: 1.4, lost: true, want: true},
	{name: "crosses the close", sent: 1, whole: 1.1, ended: 1.2, lost: true},
	{name: "never whole", sent: 1, ended: 4, lost: true},
	{name: "behind another, not passed on", sent: 1, whole: 1.1, ended: 1.4, lost: true, behind: true},
	{name: "at work in the last sixth", sent: 1, whole: 2.9, ended: 5.4, lost: true, visits: worked(2.9, 5.4)},
	{name: "at work in the last sixth, sent late", sent: 1, whole: 3.1, ended: 5.4, lost: true, visits: worked(3.1, 5.4), want: true},
	{name: "work done before the last sixth", sent: 1, whole: 2.9, ended: 5.4, lost: true, visits: worked(2.9, 4.9), want: true},
	{name: "own answer in place of a server at work", sent: 1, whole: 1.1, ended: 2, status: http.StatusBadGateway, visits: worked(1.1, 0), want: true},
	{name: "own answer after the gateway left the server", sent: 1, whole: 1.1, ended: 2, status: http.StatusGatewayTimeout, visits: []visit{{server: &serverNode{}, began: after(1.1), end: after(1.9), left: true}}, want: true},
	{name: "own answer after the work", sent: 1, whole: 1.1, ended: 2, status: http.StatusBadGateway, visits: worked(1.1, 1.9)},
	{name: "the server's answer", sent: 1, whole: 1.1, ended: 2, status: http.StatusGatewayTimeout, signed: true, visits: worked(1.1, 0)},
	{name: "refusal", sent: 4, whole: 4.1, ended: 4.2, status: http.StatusServiceUnavailable},
	{name: "caller left", sent: 1, whole: 1.1, ended: 4, visits: worked(1.1, 0)},
}

// A stop takes an answer only in the cases that the rule names.
func TestStopTakesAnAnswer(t *testing.T) {
	for _, test := range stopCases {
		t.Run(test.name, func(t *testing.T) {
			c := claim{
				sent: after(test.sent), whole: after(test.whole), ended: after(test.ended), limit: slowLimit,
				status: test.status, signed: test.signed, lost: test.lost, behind: test.behind,
			}
			got := takenBy(&c, test.visits) != "" && !late(&c, test.visits, sigterm)
			assert.Equal(t, got, test.want)
		})
	}
}

// Trouble at a server excuses until contact after its end, and other servers' does not.
func TestTroubleExcusesUntilContactAfterIt(t *testing.T) {
	n := &serverNode{service: "look", troubles: []span{{from: after(1), to: after(2)}}}
	assert.Assert(t, n.troubled(after(1.5), after(1.6), false))
	assert.Assert(t, n.troubled(after(4.9), after(5.1), false))
	assert.Assert(t, !n.troubled(after(5.1), after(6), false))
	assert.Assert(t, !n.troubled(after(0.5), after(0.9), false))
	assert.Assert(t, !n.troubled(after(1.5), after(1.6), true), "no bytes are lost on the way to it")
	n.troubles[0].to = time.Time{}
	assert.Assert(t, n.troubled(after(9), after(10), false))
}
