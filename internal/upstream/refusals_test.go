package upstream

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusal returns a server's refusal of a call, or one that doesn't name its call if the id
// is empty.
func refusal(id string) string {
	head := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "Call-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// Guards against "not run" for a call that runs: a server writes the refusal of an earlier
// call once more on a kept connection, where the answer to the next call is due.
func TestRepeatedRefusalIsNotTakenForTheNextCall(t *testing.T) {
	for _, test := range []struct {
		name, first, next, reply string
		closes                   bool
		want                     Outcome
	}{
		{"before the answer", "c1", "c2", refusal("c1") + answerTo("c2", "hello"), false, Answered},
		{"in place of the answer", "c1", "c2", refusal("c1"), true, Unknown},
		{"without the id of its call", "c1", "c2", refusal(""), true, Unknown},
		{"without the id of its call, before the answer", "c1", "c2", refusal("") + answerTo("c2", "hello"), false, Unknown},
		{"the caller gives the same id again", "c1", "c1", refusal("c1"), true, Unknown},
		{"the caller gives no id", "", "", refusal(""), true, Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, server := startFakeServer(t, func(_, request int) (string, bool) {
				switch request {
				case 1:
					return healthAnswer, false
				case 2:
					return refusal(test.first), false
				default:
					return test.reply, test.closes
				}
			})
			lease := mustProbe(t, server)
			assert.Equal(t, lease.Send(context.Background(), callWithID(test.first)).Outcome, NotRun)
			if !lease.Usable() { // the connection is not kept, so that nothing is left to confuse
				return
			}
			r := lease.Send(context.Background(), callWithID(test.next))
			assert.Equal(t, r.Outcome, test.want, "%v", r.Err)
		})
	}
}

func callWithID(id string) *Call {
	c := newCall()
	c.ID, c.Head = id, []byte("Host: h\r\n")
	if id != "" {
		c.Head = []byte("Host: h\r\nCall-Id: " + id + "\r\n")
	}
	return c
}

// Guards against an answer that looks whole but isn't: a server stops anywhere in the head of
// its answer, or in the body, and closes.
func TestAnswerThatEndsEarlyIsNeverWhole(t *testing.T) {
	const body = "hello"
	for name, answer := range map[string]string{
		"length": answerTo("c1", body),
		"chunks": "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"length last": fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: y\r\nCall-Id: c1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body),
		"no length": "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var cut int
			_, server := startFakeServer(t, func(int, int) (string, bool) { return answer[:cut], true })
			for cut = range len(answer) {
				lease, err := server.Open(context.Background(), time.Second, time.Minute)
				assert.NilError(t, err)
				r := lease.Send(context.Background(), newCall())
				assert.Equal(t, r.Outcome, Unknown, "%d bytes: status %d, body %q", cut, r.Status, r.Body)
			}
		})
	}
}
