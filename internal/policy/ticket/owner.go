// Package ticket decides which calls may run under single-use tickets. An entry
// mints tickets and is the only one that spends them; what it knows of them
// lives and dies with its process. Time and randomness are arguments.
package ticket

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// Config configures an owner of tickets.
type Config struct {
	// VM is the entry's id in the VM list.
	VM string
	// Incarnation identifies the entry's process.
	Incarnation Incarnation
	// Key authenticates tickets; it never leaves the process.
	Key []byte
	// Lifetime is how long after minting a ticket may start a call.
	Lifetime time.Duration
	// Window is the number of latest tickets whose state is known. Older ones
	// have expired.
	Window int
	// MaxRunning bounds the calls with tickets in flight.
	MaxRunning int
	// MaxAnswerBytes bounds the memory of kept answers, in bytes.
	MaxAnswerBytes int
}

type state uint8

const (
	unspent state = iota
	running
	answered
	unknown
	void
)

// slot is what is known of one ticket of the window, kept answers apart.
type slot struct {
	tag   uint64
	state state
}

// record is a call that runs or whose answer is kept.
type record[A any] struct {
	fingerprint Fingerprint
	answer      A
	size        int
}

// Owner holds the tickets that one process has minted. It is not safe for
// concurrent use.
type Owner[A any] struct {
	config  Config
	issued  uint64
	slots   []slot
	records map[uint64]record[A]
	running int
	kept    []uint64 // finished calls in the order of their ends
	bytes   int
}

// NewOwner returns an owner that has minted nothing.
func NewOwner[A any](c Config) *Owner[A] {
	return &Owner[A]{config: c, slots: make([]slot, c.Window), records: make(map[uint64]record[A])}
}

// Clone returns an independent copy, for a search over states.
func (o *Owner[A]) Clone() *Owner[A] {
	c := *o
	c.slots, c.kept, c.records = slices.Clone(o.slots), slices.Clone(o.kept), maps.Clone(o.records)
	return &c
}

// Owns reports whether a ticket was minted by this process, if it is genuine.
func (o *Owner[A]) Owns(id ID) bool {
	return id.Owner == o.config.VM && id.Incarnation == o.config.Incarnation
}

// Mint returns the text of a new ticket for a customer. The oldest ticket leaves
// the window.
func (o *Owner[A]) Mint(customer string, now time.Duration) string {
	o.issued++
	if window := uint64(o.config.Window); o.issued > window {
		o.expire(o.issued - window)
	}
	*o.slot(o.issued) = slot{}
	id := ID{Owner: o.config.VM, Incarnation: o.config.Incarnation, Sequence: o.issued, Customer: customer, MintedAt: now}
	return encode(id, o.config.Key)
}

// expire drops the answer of a ticket that leaves the window. A running call
// keeps its record until it has finished.
func (o *Owner[A]) expire(sequence uint64) {
	if o.slot(sequence).state != running {
		o.drop(sequence)
	}
}

// Spend decides on a call that carries a ticket of this entry. A ticket that was
// not spent before is spent or made void.
func (o *Owner[A]) Spend(text, customer string, f Fingerprint, now time.Duration) Decision[A] {
	id, s, refusal := o.find(text, customer)
	if refusal != nil {
		return *refusal
	}
	if defect.On("ticket-spend") && s.state != void {
		s.state = unspent
	}
	if s.state != unspent {
		return o.again(id.Sequence, s, f)
	}
	switch {
	case now-id.MintedAt > o.config.Lifetime:
		return o.voidUnspent(s, Expired)
	case o.running >= o.config.MaxRunning:
		return o.voidUnspent(s, TooManyRunning)
	}
	*s = slot{state: running, tag: f.tag()}
	o.running++
	o.records[id.Sequence] = record[A]{fingerprint: f}
	return Decision[A]{Action: Run, Sequence: id.Sequence}
}

// Refuse decides on a call that this entry does not want to run. A ticket that
// was not spent before becomes void.
func (o *Owner[A]) Refuse(text, customer string, f Fingerprint, reason Reason) Decision[A] {
	id, s, refusal := o.find(text, customer)
	if refusal != nil {
		return *refusal
	}
	if s.state != unspent {
		return o.again(id.Sequence, s, f)
	}
	return o.voidUnspent(s, reason)
}

// Finish notes how a call under a ticket ended. The outcome NotRun makes the
// ticket void, because a delayed sending of the same call may still arrive. The
// size is the answer's memory in bytes.
func (o *Owner[A]) Finish(sequence uint64, result outcome.Outcome, answer A, size int) {
	o.running--
	if !o.inWindow(sequence) {
		delete(o.records, sequence)
		return
	}
	s := o.slot(sequence)
	s.state = finished(result)
	r := o.records[sequence]
	if size > o.config.MaxAnswerBytes {
		delete(o.records, sequence)
		return
	}
	r.answer, r.size = answer, size
	o.records[sequence] = r
	o.kept = append(o.kept, sequence)
	o.bytes += size
	o.evict()
}

// finished returns the state after an outcome.
func finished(result outcome.Outcome) state {
	switch result {
	case outcome.Answered:
		return answered
	case outcome.NotRun:
		if defect.On("ticket-void") {
			return unspent
		}
		return void
	default:
		return unknown
	}
}

// find returns the state of a genuine ticket, or a refusal.
func (o *Owner[A]) find(text, customer string) (ID, *slot, *Decision[A]) {
	claimed, err := Parse(text)
	if err != nil {
		return ID{}, nil, unknownBecause[A](Invalid)
	}
	if !o.Owns(claimed) {
		return ID{}, nil, unknownBecause[A](OwnerGone)
	}
	id, genuine := verify(text, o.config.Key)
	if !genuine {
		return ID{}, nil, unknownBecause[A](Invalid)
	}
	if id.Customer != customer && !defect.On("ticket-customer") {
		return ID{}, nil, unknownBecause[A](OtherCustomer)
	}
	if !o.inWindow(id.Sequence) {
		return ID{}, nil, unknownBecause[A](Expired)
	}
	return id, o.slot(id.Sequence), nil
}

func unknownBecause[A any](r Reason) *Decision[A] {
	d := refuse[A](outcome.Unknown, r)
	return &d
}

// again decides on a ticket that was spent or made void before.
func (o *Owner[A]) again(sequence uint64, s *slot, f Fingerprint) Decision[A] {
	r, kept := o.records[sequence]
	switch {
	case kept && r.fingerprint == f && s.state == running:
		return Decision[A]{Action: Join, Sequence: sequence}
	case kept && r.fingerprint == f:
		return Decision[A]{Action: Replay, Sequence: sequence, Answer: r.answer}
	case s.state == void:
		return refuse[A](outcome.NotRun, Voided)
	case kept || s.tag != f.tag():
		return refuse[A](outcome.Unknown, OtherRequest)
	default:
		return refuse[A](outcome.Unknown, AnswerNotKept)
	}
}

func (o *Owner[A]) voidUnspent(s *slot, r Reason) Decision[A] {
	s.state = void
	return refuse[A](outcome.NotRun, r)
}

// evict drops the oldest kept answers until the rest fits the memory, and
// entries of the queue whose answers were dropped before.
func (o *Owner[A]) evict() {
	for len(o.kept) > 0 {
		_, held := o.records[o.kept[0]]
		if held && o.bytes <= o.config.MaxAnswerBytes {
			return
		}
		o.drop(o.kept[0])
		o.kept = o.kept[1:]
	}
}

// drop forgets a kept answer.
func (o *Owner[A]) drop(sequence uint64) {
	o.bytes -= o.records[sequence].size
	delete(o.records, sequence)
}

func (o *Owner[A]) slot(sequence uint64) *slot {
	return &o.slots[sequence%uint64(o.config.Window)]
}

func (o *Owner[A]) inWindow(sequence uint64) bool {
	return sequence >= 1 && sequence <= o.issued && o.issued-sequence < uint64(o.config.Window)
}
