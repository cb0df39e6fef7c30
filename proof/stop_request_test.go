package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// form is how the bytes of a request are sent.
type form int

const (
	formPlain form = iota
	formSlowHead
	formSlowBody   // a body with a length, in pieces
	formSlowChunks // a chunked body, in pieces
	formManyChunks
	formExpect // the body is sent after 100 Continue
)

// span is a range of durations to choose from.
type span struct{ least, most time.Duration }

func (s span) choose(r *rand.Rand) time.Duration {
	return s.least + time.Duration(r.Int64N(int64(s.most-s.least)+1))
}

// sight is a request as its caller saw it.
type sight struct {
	kind     *callerKind
	id       string
	gateway  int
	unsafe   bool
	target   string
	size     int
	work     time.Duration
	patience time.Duration
	// begun is when the first byte was sent. The last one was sent after sending and before
	// sent; through a slow link, sent is when it had reached the gateway.
	begun, sending, sent time.Time
	behind               bool // another request was outstanding on the connection when it was begun
	// behindClosing says that an answer before it ended the connection.
	behindClosing bool

	answered time.Time // when the answer was whole
	status   int
	signed   bool
	body     string // that its answer is to have
	// ended is when the connection ended without a whole answer, and why.
	ended time.Time
	why   string
	// left says that the caller closed the connection.
	left bool
}

// pieces returns the bytes of a request in the pieces that are sent.
func (x *sight) pieces(r *rand.Rand) [][]byte {
	names := platform.Dialect()
	host, method, body := "look.example", http.MethodGet, ""
	if x.unsafe {
		host = "book.example"
	}
	if x.unsafe || x.kind.form != formPlain && x.kind.form != formSlowHead {
		method, body = http.MethodPost, strings.Repeat("b", 200+r.IntN(1000))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, x.target, host, names.CallID, x.id, names.Deadline, x.patience.Milliseconds())
	if x.kind.once {
		head += "Connection: close\r\n"
	}
	x.body = string(fake.AnswerBody(x.id, method, x.target, []byte(body)))
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	switch x.kind.form {
	case formSlowHead:
		return cut(head+length+"\r\n"+body, 2+r.IntN(8))
	case formSlowBody:
		return append([][]byte{[]byte(head + length + "\r\n")}, cut(body, 1+r.IntN(8))...)
	case formExpect:
		return [][]byte{[]byte(head + length + "Expect: 100-continue\r\n\r\n"), []byte(body)}
	case formSlowChunks, formManyChunks:
		number := 2 + r.IntN(6)
		if x.kind.form == formManyChunks {
			number = len(body) / 4
		}
		out := [][]byte{[]byte(head + "Transfer-Encoding: chunked\r\n\r\n")}
		for _, part := range cut(body, number) {
			out = append(out, fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part))
		}
		return append(out, []byte("0\r\n\r\n"))
	default:
		return [][]byte{[]byte(head + length + "\r\n" + body)}
	}
}

// cut cuts a text into pieces of about the same size.
func cut(text string, number int) [][]byte {
	var out [][]byte
	for i := range number {
		if piece := text[len(text)*i/number : len(text)*(i+1)/number]; piece != "" {
			out = append(out, []byte(piece))
		}
	}
	return out
}
