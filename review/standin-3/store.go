package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // encoding/json writes standard base64
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store, as PROTOCOL.md and the news pages describe it.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed at each change
	items   map[string]item
	events  []item // the history, oldest first
	rev     int64
	era     int
	away    bool
}

// backup is a copy of a store's content.
type backup struct {
	items  map[string]item
	events []item
	rev    int64
}

func startStore(address string) (*store, error) {
	s := &store{changed: make(chan struct{}), items: map[string]item{}, era: 1}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key and returns the revision, which is the acknowledgement.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.rev, Created: created}
	s.items[key] = it
	s.events = append(s.events, it)
	s.wake()
	return s.rev
}

func (s *store) remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return s.rev
	}
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.rev, Deleted: true})
	s.wake()
	return s.rev
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

func (s *store) copyNow() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backup{items: map[string]item{}, events: append([]item(nil), s.events...), rev: s.rev}
	for k, v := range s.items {
		b.items[k] = v
	}
	return b
}

// leave makes the store answer 503 until comeBack.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack ends leave. With a copy the store goes on from it, in a new era.
func (s *store) comeBack(from *backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from != nil {
		s.items, s.events, s.rev = from.items, from.events, from.rev
		s.era++
	}
	s.wake()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(it)
	case "/v1/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const page = 500
	items := []item{}
	for k, v := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, v)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > page
	if more {
		items = items[:page]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more_pages": more, "as_of": s.rev})
}

// watch answers with the changes after a revision, or 410 for one that the store doesn't have.
// The lock is held on entry and on return.
func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	era := s.era
	for expired := false; ; {
		if s.away || s.era != era {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.rev {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": s.rev})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			expired = true
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}
