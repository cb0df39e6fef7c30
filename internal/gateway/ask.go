package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

const (
	// concurrentChecks is the number of health checks sent at the same time. Further
	// servers are checked only if no server checked so far is good, because checks are
	// budgeted.
	concurrentChecks = 2
	// rankGroupSize is the number of servers that are ranked against each other. Local
	// and remote servers are each checked group by group. With a third of the servers
	// slow, all servers of a group are slow once in several hundred cases.
	rankGroupSize = 6
	// maxLocalChecks is the maximum number of checks for one send in the gateway's own
	// data centre before others are considered. It is less than maxChecks, so that a
	// request finds a free server elsewhere when its data centre is full.
	maxLocalChecks = 6
	// maxChecks is the maximum number of checks for one send in all data centres.
	maxChecks = 8
	// maxChecksWhenScarce replaces maxChecks when few checks are left in the budget,
	// so that each request can make some.
	maxChecksWhenScarce = 2
	// checkTimeout is the time after which a health check counts as failed, and bounds the
	// opening of a connection. It allows for a round trip of a few ms to another data centre and
	// for pauses of small VMs.
	checkTimeout = 60 * time.Millisecond
	// lateCheckTimeout bounds a health check that counts as failed already. Its answer may be
	// behind large ones on this VM's link: one of 540 KB takes 0.3 s at 13 Mbit/s. With it the
	// server is well again, and the connection stays open.
	lateCheckTimeout = 500 * time.Millisecond
	// firstAnswerWait is how long a group of concurrent checks waits for its first
	// answer. It is longer than a round trip to another data centre.
	firstAnswerWait = 15 * time.Millisecond
	// moreAnswersWait is how long a group of concurrent checks waits for a better
	// server after the first answer. It is longer than a round trip to another data
	// centre.
	moreAnswersWait = 4 * time.Millisecond
	// checkBudgetShare is the share of the fleet's budget of health checks that is
	// used. The rest is a margin, because a gateway knows only approximately how many
	// gateways share the budget.
	checkBudgetShare = 0.9
	// maxIdleWithoutCheck is how long a connection may have been idle to be used
	// without a health check.
	maxIdleWithoutCheck = 500 * time.Millisecond
)

// leasedServer is a server with a leased connection, chosen to receive a request.
type leasedServer struct {
	target    *target
	lease     *upstream.Lease
	candidate placement.Candidate
	// answeredAt is when the server reported its load; zero if it never did.
	answeredAt time.Time
	// because says why a server of another data centre was looked for; empty for one of the own.
	because string
}

func (ls *leasedServer) release() {
	if ls != nil {
		ls.lease.Release()
	}
}

// eligibleTargets returns the servers to check, in groups of rankGroupSize and within
// a group the most promising first, but servers on trial before all others. It omits
// servers in backoff, those already tried and those that take no calls at present.
func eligibleTargets(from []*target, state *serviceState, tried map[*upstream.Server]bool, demand placement.Demand, now time.Time) []*target {
	type ranked struct {
		t     *target
		order int
	}
	var trials []*target
	list := make([]ranked, 0, len(from))
	for _, t := range from {
		if tried[t.server] || t.health.inBackoff(now) {
			continue
		}
		switch t.restraint(int(state.sends.Load()), rand.Float64(), now) {
		case unrestrained:
			rank := placement.RankServer(t.candidate(now), now.Sub(t.health.loadAt()), demand)
			list = append(list, ranked{t, placement.CheckOrder(rank, t.server.HasIdle())})
		case onTrial:
			trials = append(trials, t)
		}
	}
	for rest := list; len(rest) > 0; {
		group := rest[:min(rankGroupSize, len(rest))]
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		slices.SortStableFunc(group, func(a, b ranked) int { return cmp.Compare(a.order, b.order) })
		rest = rest[len(group):]
	}
	out := make([]*target, 0, len(trials)+len(list))
	out = append(out, trials...)
	for _, r := range list {
		out = append(out, r.t)
	}
	return out
}

// leftOutTargets returns the servers of a service that are available but left out. They are
// the last resort.
func leftOutTargets(svc *service, tried map[*upstream.Server]bool, now time.Time) []*target {
	var out []*target
	for _, t := range slices.Concat(svc.local, svc.remote) {
		if !tried[t.server] && !t.health.inBackoff(now) && t.available(now) && t.cold.isOpen(now) {
			out = append(out, t)
		}
	}
	return out
}

// findServer checks servers of the gateway's own data centre until one is good. If none
// is, it checks others: in other data centres if that pays, else more of its own. A part of
// the calls looks in other data centres first, see placement.Crossing. It returns the best
// one. It chooses a server without a check if no checked server accepts requests, if the
// service's servers don't report their load, or if the budget of checks is used up. It returns
// nil if no connection can be opened.
func (d *dispatcher) findServer(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool) *leasedServer {
	now := time.Now()
	if svc.state.loadUnreported.Load() {
		return d.chooseUnchecked(ctx, svc, demand, tried, now)
	}
	limit, rate := maxChecks, d.checkRate(svc)
	if svc.state.checkBudget.RunningLow(rate, now) {
		limit = maxChecksWhenScarce
	}
	local := eligibleTargets(svc.local, svc.state, tried, demand, now)
	var best *leasedServer
	if len(local) > 0 && svc.state.crossing.RemoteFirst(demand, rand.Float64(), now) {
		best = d.findRemoteFirst(ctx, svc, local[:min(limit-concurrentChecks, len(local))], demand, tried, rate)
	} else {
		best = d.findLocalFirst(ctx, svc, local, limit, demand, tried, rate)
	}
	if best != nil {
		return best
	}
	return d.chooseUnchecked(ctx, svc, demand, tried, now)
}

// findRemoteFirst checks servers of other data centres, and then some local ones if none is good.
func (d *dispatcher) findRemoteFirst(ctx context.Context, svc *service, local []*target, demand placement.Demand, tried map[*upstream.Server]bool, rate float64) *leasedServer {
	remote := eligibleTargets(svc.remote, svc.state, tried, demand, time.Now())
	best := d.checkRemote(ctx, svc, remote[:min(concurrentChecks, len(remote))], nil, demand, rate)
	if best == nil || !best.candidate.Good(demand) {
		best, _ = d.checkUntilGood(ctx, svc, local, best, demand, rate)
	}
	best.setBecause("remote-first")
	return best
}

// findLocalFirst checks local servers. If none is good it checks some of other data centres, if
// that pays, or more of the local ones, up to a limit of checks in all.
func (d *dispatcher) findLocalFirst(ctx context.Context, svc *service, local []*target, limit int, demand placement.Demand, tried map[*upstream.Server]bool, rate float64) *leasedServer {
	first := min(maxLocalChecks, limit, len(local))
	best, allowed := d.checkUntilGood(ctx, svc, local[:first], nil, demand, rate)
	because := svc.state.whyLeave(best, demand)
	if len(local) > 0 && (allowed || best != nil) { // else nothing is known of the local servers
		svc.state.crossing.Observe(because != "", time.Now())
	}
	if best != nil && best.candidate.Good(demand) {
		return best
	}
	more := local[first:]
	if because == "" && len(more) > 0 {
		best, _ = d.checkUntilGood(ctx, svc, more[:min(limit-first, len(more))], best, demand, rate)
		return best
	}
	more = eligibleTargets(svc.remote, svc.state, tried, demand, time.Now())
	best = d.checkRemote(ctx, svc, more[:min(limit-first, len(more))], best, demand, rate)
	best.setBecause(cmp.Or(because, "none-other-here"))
	return best
}

// whyLeave returns why a request had better leave the data centre, given the best server found
// there, which may be nil; it is empty if the request had better stay.
func (s *serviceState) whyLeave(best *leasedServer, demand placement.Demand) string {
	switch {
	case best == nil:
		return "none-here"
	case !s.crossing.Pays(best.candidate, demand):
		return ""
	case best.candidate.HasFreeSlot():
		return "late-here"
	default:
		return "full-here"
	}
}

// setBecause records why a server in another data centre was chosen, for the request's log line.
func (ls *leasedServer) setBecause(because string) {
	if ls != nil && ls.candidate.Remote {
		ls.because = because
	}
}

// checkRemote is checkUntilGood for servers of other data centres.
func (d *dispatcher) checkRemote(ctx context.Context, svc *service, order []*target, best *leasedServer, demand placement.Demand, rate float64) *leasedServer {
	found, _ := d.checkUntilGood(ctx, svc, order, nil, demand, rate)
	if found != nil {
		svc.state.crossing.ObserveRemote(found.candidate, demand)
	}
	return better(best, found, demand)
}

// checkUntilGood checks servers in the given order, concurrentChecks at a time, until the
// best found so far is good or the budget of checks is used up. It returns the best, which
// may be the given one or nil; allowed is false if the budget was used up.
func (d *dispatcher) checkUntilGood(ctx context.Context, svc *service, order []*target, best *leasedServer, demand placement.Demand, rate float64) (_ *leasedServer, allowed bool) {
	for len(order) > 0 && (best == nil || !best.candidate.Good(demand)) {
		n := min(concurrentChecks, len(order))
		found, allowed := d.checkTargets(ctx, svc, order[:n], demand, rate)
		if !allowed {
			return best, false
		}
		best = better(best, found, demand)
		order = order[n:]
	}
	return best, true
}

// findForQueued checks a few servers for a request in the queue. The last health checks
// of the budget are reserved for requests that have not checked any server yet; if only
// the reserve is left it returns nil.
func (d *dispatcher) findForQueued(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool) *leasedServer {
	now := time.Now()
	if svc.state.loadUnreported.Load() {
		return d.chooseUnchecked(ctx, svc, demand, tried, now)
	}
	rate := d.checkRate(svc)
	if !svc.state.checkBudget.HasSpare(rate, now) {
		return nil
	}
	local := eligibleTargets(svc.local, svc.state, tried, demand, now)
	if len(local) == 0 || svc.state.crossing.RemoteFirst(demand, rand.Float64(), now) {
		return d.findRemoteFirst(ctx, svc, nil, demand, tried, rate)
	}
	found, allowed := d.checkTargets(ctx, svc, local[:min(concurrentChecks, len(local))], demand, rate)
	if allowed {
		svc.state.crossing.Observe(svc.state.whyLeave(found, demand) != "", now)
	}
	return found
}

// better returns the server with the lower cost and releases the other.
func better(a, b *leasedServer, demand placement.Demand) *leasedServer {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.candidate.Cost(demand) < a.candidate.Cost(demand):
		a.release()
		return b
	default:
		b.release()
		return a
	}
}

// checkTargets sends health checks in parallel and returns the best server that accepts
// requests and answers in time, or nil. Rate is the number of checks per second that
// this gateway may send; allowed is false if the budget is used up.
func (d *dispatcher) checkTargets(ctx context.Context, svc *service, targets []*target, demand placement.Demand, rate float64) (best *leasedServer, allowed bool) {
	if !svc.state.checkBudget.Take(len(targets), rate, time.Now()) {
		d.metrics.overBudgetChecks.Inc()
		return nil, false
	}
	answers := make(chan *leasedServer, len(targets))
	for _, t := range targets {
		go func() { answers <- d.checkTarget(ctx, svc, t) }()
	}
	timer := time.NewTimer(firstAnswerWait)
	defer timer.Stop()
	for left := len(targets); left > 0; left-- {
		select {
		case ls := <-answers:
			if best == nil && ls != nil {
				timer.Reset(moreAnswersWait)
			}
			best = better(best, ls, demand)
		case <-timer.C:
			go releaseLate(answers, left)
			return best, true
		}
	}
	return best, true
}

// releaseLate releases the servers of the checks that have not ended in time; left is
// their number.
func releaseLate(answers <-chan *leasedServer, left int) {
	for range left {
		(<-answers).release()
	}
}

// checkRate returns this gateway's share of the service's budget of health checks, in
// checks per second.
func (d *dispatcher) checkRate(svc *service) float64 {
	all := d.options.Settings.Budgets.ProbesPerSecond * float64(len(svc.local)+len(svc.remote))
	return checkBudgetShare * all / float64(d.options.fleetSize(time.Now()).Gateways)
}

// checkTarget sends a health check to one server. It returns nil if the check fails or
// the server doesn't accept requests. The end of the context doesn't end the check, since that
// would close its connection.
func (d *dispatcher) checkTarget(ctx context.Context, svc *service, t *target) *leasedServer {
	failed := func() {
		t.health.recordFailedCheck(time.Now())
		d.metrics.unansweredChecks.Inc()
	}
	overdue := time.AfterFunc(checkTimeout, failed)
	h, lease, err := t.server.Probe(context.WithoutCancel(ctx), lateCheckTimeout)
	inTime := overdue.Stop()
	now := time.Now()
	if err != nil {
		if inTime && !errors.Is(err, upstream.ErrLeftAlone) {
			failed()
		}
		if httpwire.IsMalformed(err) {
			standingLog.With("server", t.info.ID).With("service", t.info.Service).Warnf("health check failed: %v", err)
		}
		return nil
	}
	if !inTime {
		d.metrics.lateChecks.Inc()
	}
	if h.WrongServer || lease == nil {
		lease.Release()
		t.health.recordFailedCheck(now)
		return nil
	}
	t.health.recordAnsweredCheck(h.Load, h.HasLoad)
	t.recordWarmup(h, now)
	if !h.HasLoad && h.OK {
		svc.state.loadUnreported.Store(true)
	}
	if !h.OK {
		lease.Release()
		return nil
	}
	return &leasedServer{target: t, lease: lease, candidate: t.candidate(now), answeredAt: now}
}

// recordWarmup takes what a health check tells of the server's warm-up.
func (t *target) recordWarmup(h upstream.Health, now time.Time) {
	switch {
	case h.HasWarmupLeft:
		t.cold.told(h.WarmupLeft, now)
	case h.UnreadableWarmup != "" && t.health.firstUnreadableWarmup():
		const maxText = 40
		standingLog.With("server", t.info.ID).With("service", t.info.Service).With("warmup_left", h.UnreadableWarmup[:min(len(h.UnreadableWarmup), maxText)]).
			Warnf("server tells its warm-up in a way that can't be used; what its record says holds")
	}
}

// chooseUnchecked chooses a server by its last known state, without a health check. It
// serves services whose servers don't report their load, and requests for which no
// server answers in time.
func (d *dispatcher) chooseUnchecked(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool, now time.Time) *leasedServer {
	if ctx.Err() != nil {
		return nil
	}
	nearest, others := svc.local, svc.remote
	if svc.state.crossing.RemoteFirst(demand, rand.Float64(), now) {
		nearest, others = others, nearest
	}
	targets := eligibleTargets(nearest, svc.state, tried, demand, now)
	if len(targets) == 0 {
		targets = eligibleTargets(others, svc.state, tried, demand, now)
	}
	if len(targets) == 0 {
		targets = leftOutTargets(svc, tried, now)
	}
	candidates := make([]placement.Candidate, 0, len(targets))
	for _, t := range targets {
		c := t.candidate(now)
		c.Running = max(c.Running, t.server.InFlight())
		candidates = append(candidates, c)
	}
	for len(targets) > 0 {
		i := placement.Best(candidates, demand)
		lease, err := targets[i].server.Open(ctx, checkTimeout, maxIdleWithoutCheck)
		if err == nil {
			return &leasedServer{target: targets[i], lease: lease, candidate: candidates[i], answeredAt: targets[i].health.loadAt()}
		}
		targets[i].health.recordFailedCheck(now)
		targets, candidates = slices.Delete(targets, i, i+1), slices.Delete(candidates, i, i+1)
	}
	return nil
}
