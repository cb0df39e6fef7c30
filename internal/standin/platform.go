package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// Platform is a fake of the platform's configuration service. It answers
// GET /v1/lists/{name}?after=N&wait=S; PUT on the same path publishes the next
// version, and PUT /v1/down?down=true makes every read fail.
type Platform struct {
	mu      sync.Mutex
	held    map[string]published
	changed chan struct{}
	down    bool
	reads   int
	// stale holds the old copies that are served.
	stale      map[string]published
	staleReads int
}

type published struct {
	version uint64
	body    []byte
}

// NewPlatform returns a platform without lists.
func NewPlatform() *Platform {
	return &Platform{held: make(map[string]published), changed: make(chan struct{})}
}

// Publish makes body the next version of a list and returns the version.
func (p *Platform) Publish(name string, body []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.held[name].version + 1
	p.held[name] = published{version: version, body: body}
	p.wake()
	return version
}

// SetDown makes every read fail, or ends that. Waiting watches fail at once.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale makes the platform serve the named lists as they are now, also to
// readers that ask for newer versions. All other lists are current.
func (p *Platform) SetStale(names ...lists.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = make(map[string]published)
	for _, name := range names {
		p.stale[string(name)] = p.held[string(name)]
	}
	p.wake()
}

// StaleReads returns the number of reads answered with an older version than
// the reader asked for.
func (p *Platform) StaleReads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.staleReads
}

// Reads returns the number of reads so far; a watch counts as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lists/{name}", p.get)
	mux.HandleFunc("PUT /v1/lists/{name}", p.put)
	mux.HandleFunc("PUT /v1/down", func(_ http.ResponseWriter, r *http.Request) { p.SetDown(r.FormValue("down") == "true") })
	return mux
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Version", strconv.FormatUint(p.Publish(r.PathValue("name"), body), 10))
}

// reply is what the platform says of a list to a reader.
type reply struct {
	published
	// answer says that the list is sent at once.
	answer bool
}

// serve returns the state of a list for a reader that holds a version.
func (p *Platform) serve(name string, after uint64) (list reply, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list.published = p.held[name]
	list.answer = list.version > after
	if old, stale := p.stale[name]; stale {
		list.published = old
		list.answer = list.version != after
	}
	if !p.down && list.answer && list.version < after {
		p.staleReads++
	}
	return list, p.down, p.changed
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Second)
	defer cancel()
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		list, down, changed := p.serve(r.PathValue("name"), after)
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if list.answer {
			w.Header().Set("X-Version", strconv.FormatUint(list.version, 10))
			_, _ = w.Write(list.body)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.Header().Set("X-Version", strconv.FormatUint(list.version, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}
