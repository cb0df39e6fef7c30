package placement

import "time"

const (
	// toleratedRefusals is the number of refusals in a row from which a server is left out.
	// One that is nearly full refuses now and then what it had room for a moment ago.
	toleratedRefusals = 2
	// minTrialDelay is the time until the first trial of a server that is left out. It
	// doubles with each refused trial, up to maxTrialDelay. An entry with fewer calls than
	// trialSends in that time waits longer.
	minTrialDelay = 250 * time.Millisecond
	maxTrialDelay = 4 * time.Second
	// trialSends is the number of calls that the entry sends to the service before a trial,
	// so that refused trials stay below a fiftieth of the calls also in a large fleet with
	// few calls an entry. trialSendsTimeout replaces it where calls are rare.
	trialSends        = 64
	trialSendsTimeout = 15 * time.Second
	// trialClaim is how long a trial is reserved for the call that has been chosen for it.
	trialClaim = 200 * time.Millisecond
)

// Refusals decides when calls go to a server that refuses calls for which it has room by its
// own account. What it does counts, not what it reports: only a call that it accepts ends
// the exclusion. The zero value is that of a server that has refused nothing. It is not safe
// for concurrent use.
type Refusals struct {
	inRow     int
	lastAt    time.Time
	lastSends int // calls that the entry had sent to the service at the last refusal
	claimedAt time.Time
}

// Refused records a refusal; sends is the number of calls that the entry has sent to the
// service so far. It reports whether the server is left out from now on and wasn't before.
func (r *Refusals) Refused(sends int, now time.Time) bool {
	r.inRow++
	r.lastAt, r.lastSends, r.claimedAt = now, sends, time.Time{}
	return r.inRow == toleratedRefusals
}

// Accepted records a call that the server ran. It reports whether the server was left out.
func (r *Refusals) Accepted() bool {
	was := r.LeftOut()
	*r = Refusals{}
	return was
}

// LeftOut reports whether the server gets trials only.
func (r *Refusals) LeftOut() bool { return r.inRow >= toleratedRefusals }

// ClaimTrial reports whether a call may try a server that is left out, and reserves the
// trial for it.
func (r *Refusals) ClaimTrial(sends int, now time.Time) bool {
	passed := now.Sub(r.lastAt)
	step := min(r.inRow-toleratedRefusals, 8)
	enough := sends-r.lastSends >= trialSends || passed >= trialSendsTimeout
	if !enough || passed < min(minTrialDelay<<step, maxTrialDelay) || now.Sub(r.claimedAt) < trialClaim {
		return false
	}
	r.claimedAt = now
	return true
}

const (
	// maxReturnTime is the longest time in which calls come back to a server after a pause
	// that it had asked for. After a shorter pause they come back within its length. They
	// start with firstReturnShare.
	maxReturnTime    = 3 * time.Second
	firstReturnShare = 0.05
)

// ReturnShare returns the share of calls that may choose a server again, a time after the
// end of a pause of the given length that the server had asked for.
func ReturnShare(since, pause time.Duration) float64 {
	whole := min(pause, maxReturnTime)
	if since >= whole {
		return 1
	}
	return max(since.Seconds()/whole.Seconds(), firstReturnShare)
}
