package servers

import (
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/baobabstack/baobabstack/internal/defect"
)

// watch counts the calls and answers of a connection, since the library drops an
// answer that no call waits for and would give one that came early to the next
// call.
type watch struct {
	// mu is held while bytes are parsed.
	mu      sync.Mutex
	calls   int
	answers int // begun
	waiting bool
}

// start notes a call.
func (w *watch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	w.waiting = true
}

// end notes the end of a call, and reports whether the server sent one answer a
// call and nothing else. It returns after the bytes that came together with the
// answer are parsed.
func (w *watch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	return w.calls == w.answers || defect.On("unsolicited-answers-kept")
}

// watchAnswers puts the watch between the connection and the library. An answer
// that comes before it does is not counted, so that end reports false.
func (c *conn) watchAnswers() {
	parser, ok := c.nb.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	parser.Processor = &answerCounter{Processor: parser.Processor, watch: &c.watch}
	c.nb.OnData(c.receive)
}

// receive parses bytes from the server. Bytes that no call waits for close the
// connection.
func (c *conn) receive(nb *nbio.Conn, data []byte) {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	if !c.watch.waiting && !defect.On("unsolicited-answers-kept") {
		c.closed.Store(true)
		_ = nb.Close()
		return
	}
	c.client.Engine.DataHandler(nb, data)
}

// answerCounter counts the answers that begin on a connection.
type answerCounter struct {
	nbhttp.Processor

	watch *watch
}

// OnStatus counts an answer; an interim one is none.
func (p *answerCounter) OnStatus(parser *nbhttp.Parser, code int, status string) {
	if code >= 200 {
		p.watch.answers++
	}
	p.Processor.OnStatus(parser, code, status)
}
