// Package ticket decides which calls may run under single-use tickets. Only the
// entry that minted a ticket can spend it. Ticket state is held in memory and is
// lost when the process ends. The package reads no clock and draws no random
// values: callers pass them in.
package ticket

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// Config configures an Owner.
type Config struct {
	// VM is the entry's ID in the VM list.
	VM string
	// Incarnation identifies the entry's process.
	Incarnation Incarnation
	// Key is the HMAC key of tickets. It never leaves the process.
	Key []byte
	// Lifetime is the time after minting in which a ticket can start a call.
	Lifetime time.Duration
	// Window is the number of most recent tickets whose state is stored. Older
	// tickets have expired.
	Window int
	// MaxRunning limits the number of calls with tickets that run at a time.
	MaxRunning int
	// MaxAnswerBytes limits the total size of the stored answers, in bytes.
	MaxAnswerBytes int
}

// state is the state of one ticket.
type state uint8

const (
	unspent state = iota
	running
	answered
	unknown // spent; whether the call ran is not known
	void    // can't be spent; the call did not run
)

// slot is the state of one ticket of the window. It is kept when the
// ticket's record is dropped.
type slot struct {
	tag   uint64 // of the request that the ticket was spent on
	state state
}

// record describes a call that is running or whose answer is stored.
type record[A any] struct {
	fingerprint Fingerprint
	answer      A
	size        int // of the answer, in bytes
}

// Owner holds the state of the tickets that one process has minted. It is not safe
// for concurrent use.
type Owner[A any] struct {
	config       Config
	lastSequence uint64 // of the ticket minted last; 0 before the first
	slots        []slot // ring buffer, indexed by sequence modulo Config.Window
	records      map[uint64]record[A]
	running      int
	finishOrder  []uint64 // finished calls, oldest first; may hold calls without a record
	keptBytes    int      // total size of the stored answers
}

// NewOwner returns an Owner without tickets.
func NewOwner[A any](c Config) *Owner[A] {
	return &Owner[A]{config: c, slots: make([]slot, c.Window), records: make(map[uint64]record[A])}
}

// Clone returns an independent copy. A model checker uses it to explore states.
func (o *Owner[A]) Clone() *Owner[A] {
	c := *o
	c.slots, c.finishOrder, c.records = slices.Clone(o.slots), slices.Clone(o.finishOrder), maps.Clone(o.records)
	return &c
}

// Owns reports whether a ticket names this process as its owner. It does not
// verify the ticket.
func (o *Owner[A]) Owns(id ID) bool {
	return id.Owner == o.config.VM && id.Incarnation == o.config.Incarnation
}

// Mint returns the text of a new ticket for a customer. If the window is full,
// its oldest ticket expires.
func (o *Owner[A]) Mint(customer string, now time.Duration) string {
	o.lastSequence++
	if window := uint64(o.config.Window); o.lastSequence > window {
		o.expire(o.lastSequence - window)
	}
	*o.slot(o.lastSequence) = slot{}
	id := ID{Owner: o.config.VM, Incarnation: o.config.Incarnation, Sequence: o.lastSequence, Customer: customer, MintedAt: now}
	return encode(id, o.config.Key)
}

// expire drops the stored answer of a ticket that leaves the window. The record
// of a running call stays until Finish.
func (o *Owner[A]) expire(sequence uint64) {
	if o.slot(sequence).state != running {
		o.drop(sequence)
	}
}

// Spend decides how to handle a call that carries a ticket. An unspent ticket is
// spent or made void. For a ticket that was spent before, the call joins the run,
// gets the stored answer or is refused.
func (o *Owner[A]) Spend(text, customer string, f Fingerprint, now time.Duration) Decision[A] {
	id, s, refusal := o.lookup(text, customer)
	if refusal != nil {
		return *refusal
	}
	if defect.On("ticket-spend") && s.state != void {
		s.state = unspent
	}
	if s.state != unspent {
		return o.decideSpent(id.Sequence, s, f)
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

// Refuse is like Spend for a call that this entry will not run. It makes an
// unspent ticket void and refuses the call for the given reason.
func (o *Owner[A]) Refuse(text, customer string, f Fingerprint, reason Reason) Decision[A] {
	id, s, refusal := o.lookup(text, customer)
	if refusal != nil {
		return *refusal
	}
	if s.state != unspent {
		return o.decideSpent(id.Sequence, s, f)
	}
	return o.voidUnspent(s, reason)
}

// Finish records how a call that Spend decided to run has ended. The outcome
// NotRun makes the ticket void, because a delayed copy of the same call may still
// arrive. The size is that of the answer in memory, in bytes.
func (o *Owner[A]) Finish(sequence uint64, result outcome.Outcome, answer A, size int) {
	o.running--
	if !o.inWindow(sequence) {
		delete(o.records, sequence)
		return
	}
	s := o.slot(sequence)
	s.state = stateAfter(result)
	r := o.records[sequence]
	if size > o.config.MaxAnswerBytes {
		delete(o.records, sequence)
		return
	}
	r.answer, r.size = answer, size
	o.records[sequence] = r
	o.finishOrder = append(o.finishOrder, sequence)
	o.keptBytes += size
	o.evict()
}

// stateAfter returns the state of a ticket whose call ended with an outcome.
func stateAfter(result outcome.Outcome) state {
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

// lookup verifies a ticket and returns its contents and its state, or a refusal
// if it is not valid for the customer. The refusal has the outcome Unknown, since
// it is not known whether the call ran.
func (o *Owner[A]) lookup(text, customer string) (ID, *slot, *Decision[A]) {
	claimed, err := Parse(text)
	if err != nil {
		return ID{}, nil, refuseOutcomeUnknown[A](Invalid)
	}
	if !o.Owns(claimed) {
		return ID{}, nil, refuseOutcomeUnknown[A](OwnerGone)
	}
	id, genuine := verify(text, o.config.Key)
	if !genuine {
		return ID{}, nil, refuseOutcomeUnknown[A](Invalid)
	}
	if id.Customer != customer && !defect.On("ticket-customer") {
		return ID{}, nil, refuseOutcomeUnknown[A](OtherCustomer)
	}
	if !o.inWindow(id.Sequence) {
		return ID{}, nil, refuseOutcomeUnknown[A](Expired)
	}
	return id, o.slot(id.Sequence), nil
}

func refuseOutcomeUnknown[A any](r Reason) *Decision[A] {
	d := refuse[A](outcome.Unknown, r)
	return &d
}

// decideSpent decides on a call whose ticket was spent or made void before.
func (o *Owner[A]) decideSpent(sequence uint64, s *slot, f Fingerprint) Decision[A] {
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

// evict drops the oldest stored answers until the rest fits MaxAnswerBytes. It
// also removes calls at the head of finishOrder that have no record any more.
func (o *Owner[A]) evict() {
	for len(o.finishOrder) > 0 {
		_, recorded := o.records[o.finishOrder[0]]
		if recorded && o.keptBytes <= o.config.MaxAnswerBytes {
			return
		}
		o.drop(o.finishOrder[0])
		o.finishOrder = o.finishOrder[1:]
	}
}

// drop deletes a stored answer.
func (o *Owner[A]) drop(sequence uint64) {
	o.keptBytes -= o.records[sequence].size
	delete(o.records, sequence)
}

func (o *Owner[A]) slot(sequence uint64) *slot {
	return &o.slots[sequence%uint64(o.config.Window)]
}

func (o *Owner[A]) inWindow(sequence uint64) bool {
	return sequence >= 1 && sequence <= o.lastSequence && o.lastSequence-sequence < uint64(o.config.Window)
}
