package logs

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// queueBytes bounds the lines that wait for a slow reader: about 2,000 lines.
	queueBytes = 256 << 10
	// writeEvery is the pause between two writes, so that a burst of lines costs
	// few system calls.
	writeEvery = 50 * time.Millisecond
)

var dropped = metrics.NewCounter("baobabstack_log_lines_dropped_total")

// writer queues lines for a goroutine that writes them, so that no caller waits
// for a reader of the log.
type writer struct {
	out io.Writer

	mu      sync.Mutex
	queue   bytes.Buffer
	lost    int
	running bool
	writing sync.Mutex
}

func newWriter(out io.Writer) *writer { return &writer{out: out} }

func (w *writer) add(line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue.Len()+len(line) > queueBytes {
		w.lost++
		dropped.Inc()
		return
	}
	if w.lost > 0 {
		fmt.Fprintf(&w.queue, "level=warn msg=\"logs: lines dropped\" count=%d\n", w.lost)
		w.lost = 0
	}
	w.queue.Write(line)
	if !w.running {
		w.running = true
		time.AfterFunc(writeEvery, w.flush)
	}
}

// flush writes what is queued.
func (w *writer) flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	lines := bytes.Clone(w.queue.Bytes())
	w.queue.Reset()
	w.running = false
	w.mu.Unlock()
	_, _ = w.out.Write(lines) // no place is left to report a failure to
}

// format returns an entry as one line of logfmt.
func format(e *log.Entry) []byte {
	var b bytes.Buffer
	b.WriteString("time=")
	b.WriteString(e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"))
	b.WriteString(" level=" + e.Level.String() + " msg=" + quoted(e.Message))
	names := e.Fields.Names()
	slices.Sort(names)
	for _, name := range names {
		b.WriteString(" " + name + "=" + quoted(fmt.Sprint(e.Fields[name])))
	}
	b.WriteByte('\n')
	return b.Bytes()
}

// quoted returns a value as logfmt writes it.
func quoted(value string) string {
	for _, c := range value {
		if c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return strconv.Quote(value)
		}
	}
	if value == "" {
		return `""`
	}
	return value
}
