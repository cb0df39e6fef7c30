package httpserver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// answer collects a handler's answer, which is sent when the handler has returned.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
	// chunks follow what was written to body.
	chunks *memory.Body
}

// Header returns the headers to be sent.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the status; the first call counts.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write adds to the body.
func (a *answer) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(b)
}

// SendBody makes a body the end of a handler's answer. The body is released chunk by chunk
// as the caller takes it; it must not be used any more.
func SendBody(w http.ResponseWriter, body *memory.Body) {
	if a, ok := w.(*answer); ok && a.chunks == nil {
		a.chunks = body
		return
	}
	defer body.Release()
	for {
		chunk, ok := body.Pop()
		if !ok {
			return
		}
		_, _ = w.Write(chunk.Data) // no listener of this package, or one that collects the answer
		chunk.Release()
	}
}

// head returns the status line and the headers.
func (a *answer) head(last bool) []byte {
	a.WriteHeader(http.StatusOK)
	if a.header.Get("Date") == "" {
		a.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	a.header.Del("Content-Length")
	res := http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: a.header, Close: last,
		Body: http.NoBody, ContentLength: int64(a.body.Len() + a.chunks.Len()),
		Request: &http.Request{Method: http.MethodHead}, // so that the body is left out
	}
	var out bytes.Buffer
	_ = res.Write(&out)
	return out.Bytes()
}

// pieceBytes is the most of an answer that is handed to the engine at a time. The engine
// copies what the socket doesn't take.
const pieceBytes = 32 << 10

// piece is a part of an answer.
type piece struct {
	data  []byte
	chunk memory.Chunk // that holds the data; zero if there is none
}

// first returns the head, with the first part of the body if both are small. The answer to
// HEAD has no more.
func (a *answer) first(method string, last bool) piece {
	p := piece{data: a.head(last)}
	if method == http.MethodHead {
		a.body.Reset()
		a.release()
	}
	if a.left() == 0 || len(p.data) > pieceBytes {
		return p
	}
	body := a.next()
	return piece{data: append(p.data, body.data...), chunk: body.chunk}
}

// next returns the next part of the body, which must not be at its end.
func (a *answer) next() piece {
	if a.body.Len() > 0 {
		return piece{data: a.body.Next(pieceBytes)}
	}
	chunk, _ := a.chunks.Pop()
	return piece{data: chunk.Data, chunk: chunk}
}

// left returns how many bytes of the body are not handed out yet.
func (a *answer) left() int { return a.body.Len() + a.chunks.Len() }

// release frees what was not sent.
func (a *answer) release() { a.chunks.Release() }

// serve starts the handler of a parsed request in a goroutine of its own, so that
// pipelined requests run side by side; their answers are sent in order. It takes
// the connection from the library, because that would close it with an answer
// unsent, and would send a body in answer to HEAD.
func serve(w http.ResponseWriter, r *http.Request) {
	c := w.(*nbhttp.Response).Parser.Conn.(*conn)
	_, _, _ = w.(http.Hijacker).Hijack()
	t := c.takeTurn()
	ctx, from := c.takeArrival()
	own := r.WithContext(memory.WithTurn(ctx, t.before)) // the library uses r again
	own.Body, own.ContentLength = newBodyReader(from.body), int64(from.body.Len())
	go c.respond(own, t, from.receipt)
}

// bodyReader reads the body of a request.
type bodyReader struct {
	io.Reader
	chunks [][]byte
}

func newBodyReader(body memory.RequestBody) *bodyReader {
	readers := make([]io.Reader, 0, len(body.Chunks()))
	for _, chunk := range body.Chunks() {
		readers = append(readers, bytes.NewReader(chunk))
	}
	return &bodyReader{Reader: io.MultiReader(readers...), chunks: body.Chunks()}
}

// Close implements io.Closer.
func (*bodyReader) Close() error { return nil }

// BodyChunks returns the body of a request to a handler of this package without a copy. The
// bytes are not to be changed.
func BodyChunks(r *http.Request) ([][]byte, error) {
	if b, ok := r.Body.(*bodyReader); ok {
		return b.chunks, nil
	}
	all, err := io.ReadAll(r.Body)
	return [][]byte{all}, err
}

// slowArrival is the time from which ArrivalTime tells how long a request took to arrive.
const slowArrival = 100 * time.Millisecond

type arrivalKey struct{}

// ArrivalTime returns the time from a request's first byte to its last, or 0 for a request
// that arrived within slowArrival.
func ArrivalTime(ctx context.Context) time.Duration {
	d, _ := ctx.Value(arrivalKey{}).(time.Duration)
	return d
}

type firstKey struct{}

// FirstOnConnection reports whether a request is the first one on its connection.
func FirstOnConnection(ctx context.Context) bool {
	first, _ := ctx.Value(firstKey{}).(bool)
	return first
}

// takeArrival returns the oldest request that is not handled yet, and its context.
func (c *conn) takeArrival() (context.Context, arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrived) == 0 {
		return c.calls, arrival{}
	}
	a := c.arrived[0]
	c.arrived = c.arrived[1:]
	ctx := c.calls
	if a.first {
		ctx = context.WithValue(ctx, firstKey{}, true)
	}
	if a.took >= slowArrival {
		ctx = context.WithValue(ctx, arrivalKey{}, a.took)
	}
	return ctx, a
}

// respond runs the handler and sends its answer when its turn has come. The request's memory
// is free once the handler has returned, so that a caller that has its answer finds it free.
func (c *conn) respond(r *http.Request, t turn, receipt *memory.Receipt) {
	defer t.end()
	a := &answer{header: make(http.Header)}
	defer a.release()
	method := r.Method
	c.run(a, r)
	receipt.Release()
	t.wait()
	req, ok := c.next()
	if !ok {
		return
	}
	defer c.answered()
	last := c.endsWith(req)
	c.send(a, method, last)
}

// turn is a place in the order of a connection's answers.
type turn struct {
	before <-chan struct{} // closed when the answer before is sent
	done   chan struct{}
}

func (t turn) wait() { <-t.before }
func (t turn) end()  { t.wait(); close(t.done) }

// takeTurn returns the next place in the order.
func (c *conn) takeTurn() turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := turn{before: c.tail, done: make(chan struct{})}
	c.tail = t.done
	return t
}

var log = logs.For("httpserver")

// run calls the handler. A panic is answered with the outcome unknown.
func (c *conn) run(a *answer, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Errorf("%s %s: panic: %v\n%s", r.Method, r.URL.Path, cause, debug.Stack())
			a.release()
			*a = *refused(call.Refusal(outcome.Unknown, http.StatusInternalServerError, "internal", 0))
		}
	}()
	c.server.options.Handler.ServeHTTP(a, r)
}

func refused(from call.Answer) *answer {
	a := &answer{header: from.Header, status: from.Status}
	a.header.Set(call.HeaderOutcome, from.Outcome.String())
	a.header.Set(call.HeaderReason, from.Reason)
	if from.RetryAfter > 0 {
		a.header.Set("Retry-After", "1")
	}
	a.body.Write(from.Body)
	return a
}

func refusalAnswer(r *refusal, o outcome.Outcome) *answer {
	var retryAfter time.Duration
	if r.status == http.StatusServiceUnavailable && r != refuseStopping {
		retryAfter = time.Second
	}
	return refused(call.Refusal(o, r.status, r.reason, retryAfter))
}
