// Package journal keeps the latest decisions of an entry in memory, so that an
// operator can ask why it did what it did.
package journal

import (
	"sync"
	"time"
)

// Entry is one decision.
type Entry struct {
	// Time is when it was taken.
	Time time.Time `json:"time"`
	// Part names the part that decided, such as control or servers.
	Part string `json:"part"`
	// Decision says what was decided, such as list-refused or server-ejected.
	Decision string `json:"decision"`
	// Subject names what it was about, such as a list, server or customer.
	Subject string `json:"subject"`
	// Reason says why.
	Reason string `json:"reason"`
}

// Journal is a bounded ring of entries. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
	next    int
	total   uint64
}

// New returns a journal that keeps the latest size entries.
func New(size int) *Journal { return &Journal{entries: make([]Entry, 0, size)} }

// Add notes a decision; the oldest entry goes when the journal is full.
func (j *Journal) Add(part, decision, subject, reason string) {
	e := Entry{Time: time.Now(), Part: part, Decision: decision, Subject: subject, Reason: reason}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	if len(j.entries) < cap(j.entries) {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % len(j.entries)
}

// Entries returns the entries kept, oldest first.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Entry, 0, len(j.entries))
	out = append(out, j.entries[j.next:]...)
	return append(out, j.entries[:j.next]...)
}

// Total returns the number of entries ever added.
func (j *Journal) Total() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total
}

// defaultSize is the number of entries that the process's journal keeps.
const defaultSize = 1024

var process = New(defaultSize)

// Default returns the process's journal, which the admin listener shows.
func Default() *Journal { return process }

// Note adds a decision to the process's journal. Parts note decisions, never
// single calls.
func Note(part, decision, subject, reason string) { process.Add(part, decision, subject, reason) }
