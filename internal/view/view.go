// Package view holds the immutable snapshot of control state that traffic
// goroutines read.
package view

import (
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
}

// Snapshot is the control state at one moment. It is never changed.
type Snapshot struct {
	// Lists holds the lists in force by name.
	Lists map[lists.Name]List
	// Plans and Allowances are the operators' lists; nil until both are in force.
	Plans      *lists.Plans
	Allowances *lists.Allowances
	// Services holds the servers by service.
	Services map[string][]*servers.Server
	// Peers holds the other entry VMs.
	Peers []lists.VM
	// Ready is true once new calls can be served.
	Ready bool
	// Leaving is true once the entry stops taking new calls.
	Leaving bool
}

// Holder publishes snapshots. The zero value holds an empty one.
type Holder struct {
	p atomic.Pointer[Snapshot]
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
func (h *Holder) Store(s *Snapshot) { h.p.Store(s) }
