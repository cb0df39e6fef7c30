// Package view holds the immutable snapshot of control state that traffic
// goroutines read.
package view

import (
	"sync"
	"sync/atomic"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
)

// List is the text of a list in force.
type List struct {
	// Version is the list's version; 0 if none is in force.
	Version uint64
	// Body is the text as published.
	Body []byte
	// Compared says that some entry compared the list with an older one before
	// it came in force there.
	Compared bool
}

// Refusal is a version of a list that is not in force, and why.
type Refusal struct {
	// Version is the list's version.
	Version uint64
	// Reason says what is wrong with it or what it waits for.
	Reason string
	// Waiting says that it comes in force once its partner list fits.
	Waiting bool
}

// Snapshot is the control state at one moment. It is never changed.
type Snapshot struct {
	// Lists holds the lists in force by name.
	Lists map[lists.Name]List
	// Seen holds the highest version that arrived of each list, in force or not.
	Seen map[lists.Name]uint64
	// Refused holds the newest version of a list that is refused or waits for
	// its partner, if it is newer than the one in force.
	Refused map[lists.Name]Refusal
	// Suspect holds, for a platform list that dropped more than half at once, the
	// ids that still count until a further version confirms the loss.
	Suspect map[lists.Name][]string
	// StaleSource holds the version that the configuration service serves of a
	// list, if the one in force is newer.
	StaleSource map[lists.Name]uint64
	// Plans and Allowances are the operators' lists; nil until both are in force.
	Plans      *lists.Plans
	Allowances *lists.Allowances
	// Services holds the servers by service.
	Services map[string][]*servers.Server
	// VMs holds all entry VMs, and Peers those but this one.
	VMs   []lists.VM
	Peers []lists.VM
	// Ready is true once new calls can be served.
	Ready bool
	// Leaving is true once the entry stops taking new calls.
	Leaving bool
}

// Holder publishes snapshots. The zero value holds an empty one.
type Holder struct {
	p atomic.Pointer[Snapshot]

	mu      sync.Mutex
	updated chan struct{}
}

var empty = &Snapshot{}

// Load returns the latest snapshot.
func (h *Holder) Load() *Snapshot {
	if s := h.p.Load(); s != nil {
		return s
	}
	return empty
}

// Store publishes a snapshot.
func (h *Holder) Store(s *Snapshot) {
	h.p.Store(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.updated != nil {
		close(h.updated)
		h.updated = nil
	}
}

// Updated returns a channel that is closed at the next Store. To miss none, call
// it before Load.
func (h *Holder) Updated() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.updated == nil {
		h.updated = make(chan struct{})
	}
	return h.updated
}
