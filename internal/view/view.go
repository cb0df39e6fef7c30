// Package view publishes the control state as immutable snapshots, which goroutines
// that handle calls read without locking.
package view

import (
	"sync"
	"sync/atomic"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
)

// List is the version of a list that is in force.
type List struct {
	// Version is the version number; 0 if none is in force.
	Version uint64
	// Body is the list's text as published.
	Body []byte
	// Compared is true if some entry compared the list with an older version before
	// it put it in force. Other entries then don't check again whether the list
	// drops too much.
	Compared bool
}

// Refusal is a version of a list that is not in force, with the reason.
type Refusal struct {
	// Version is the version number.
	Version uint64
	// Reason states why it is not in force.
	Reason string
	// Waiting is true if the list, one of the operators' two, comes in force as
	// soon as a version of the other one is consistent with it.
	Waiting bool
}

// Snapshot is the control state at one time. It must not be changed once stored.
type Snapshot struct {
	// Lists holds the lists in force by name.
	Lists map[lists.Name]List
	// Seen holds the highest version received of each list, in force or not.
	Seen map[lists.Name]uint64
	// Refused holds, for each list, the newest version that is invalid, drops too
	// much or waits for the other list of the operators, if it is newer than the one
	// in force.
	Refused map[lists.Name]Refusal
	// Suspect holds, for a platform list whose version in force dropped more than
	// half of the previous one's ids, the dropped ids. They are retained until a
	// further version confirms that they are gone.
	Suspect map[lists.Name][]string
	// StaleSource holds, for each list, the version that the configuration service
	// serves, if the one in force is newer.
	StaleSource map[lists.Name]uint64
	// Plans and Allowances are the operators' two lists; nil until both are in
	// force.
	Plans      *lists.Plans
	Allowances *lists.Allowances
	// Services holds the servers of each service by its name.
	Services map[string][]*servers.Server
	// VMs holds the VMs of all entries, and Peers all except this entry's own.
	VMs   []lists.VM
	Peers []lists.VM
	// Ready is true if the entry can serve new calls.
	Ready bool
	// Leaving is true once the entry shuts down and accepts no new calls.
	Leaving bool
}

// Holder holds the latest snapshot. The zero value holds an empty one. It is safe for
// concurrent use.
type Holder struct {
	latest atomic.Pointer[Snapshot]

	mu      sync.Mutex
	updated chan struct{} // nil if no one has called Updated since the last Store
}

var empty = &Snapshot{}

// Load returns the latest snapshot, which is never nil.
func (h *Holder) Load() *Snapshot {
	if s := h.latest.Load(); s != nil {
		return s
	}
	return empty
}

// Store publishes a snapshot and closes the channel that Updated returned.
func (h *Holder) Store(s *Snapshot) {
	h.latest.Store(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.updated != nil {
		close(h.updated)
		h.updated = nil
	}
}

// Updated returns a channel that is closed at the next Store. Call it before Load:
// a Store between Load and Updated would go unnoticed.
func (h *Holder) Updated() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.updated == nil {
		h.updated = make(chan struct{})
	}
	return h.updated
}
