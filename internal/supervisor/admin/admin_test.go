package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/view"
)

// The lists arrive before the callers' listener is up. Whoever waits for the entry to be
// ready would be refused.
func TestEntryIsNotReadyBeforeItListens(t *testing.T) {
	listening := false
	holder := &view.Holder{}
	holder.Store(&view.Snapshot{Ready: true})
	s := NewService("", holder, func() bool { return listening })
	status := func() int {
		w := httptest.NewRecorder()
		s.ready(w, nil)
		return w.Code
	}
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	listening = true
	assert.Equal(t, status(), http.StatusOK)
	s.SetUnready()
	assert.Equal(t, status(), http.StatusServiceUnavailable)
}
