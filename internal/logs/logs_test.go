package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowWriter blocks each write until it is released, and notes whole writes.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// text returns what was written.
func (w *slowWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

func TestEntriesAreWholeLinesWithFields(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	flush, err := Setup(w, "info")
	assert.NilError(t, err)
	For("part").With("id", "a b").With("n", 3).With("empty", "").Infof("said %q", "x")
	For("part").Debugf("not written")
	flush()
	line := w.text()
	assert.Assert(t, strings.HasPrefix(line, "time="), line)
	assert.Assert(t, strings.HasSuffix(line, ` level=info msg="part: said \"x\"" empty="" id="a b" n=3`+"\n"), line)
}

func TestReaderThatDoesNotReadBlocksNoOne(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	flush, err := Setup(w, "info")
	assert.NilError(t, err)
	begin := time.Now()
	for range 2 * queueBytes / 64 {
		For("part").Infof("%s", strings.Repeat("x", 64))
	}
	assert.Assert(t, time.Since(begin) < time.Second)
	close(w.release)
	flush()
	For("part").Infof("after")
	flush()
	assert.Assert(t, strings.Contains(w.text(), `msg="logs: lines dropped" count=`))
	assert.Assert(t, strings.Contains(w.text(), `msg="part: after"`))
}

func TestUnknownLevelIsAFault(t *testing.T) {
	_, err := Setup(&bytes.Buffer{}, "loud")
	assert.ErrorContains(t, err, "unknown level loud")
}
