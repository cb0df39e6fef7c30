package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

const (
	// concurrentChecks is the number of health checks sent at the same time. More
	// servers are checked only if none of these is good, because checks are budgeted.
	concurrentChecks = 2
	// rankGroupSize is the number of servers in a group: the servers of each data
	// centre are checked group by group. With a third of the servers slow, all
	// servers of a group are slow once in several hundred cases.
	rankGroupSize = 6
	// maxLocalChecks bounds the checks for one send in the gateway's own data centre,
	// and maxChecks those in all data centres, so that a request finds a free server
	// elsewhere when its data centre is full.
	maxLocalChecks = 6
	maxChecks      = 8
	// maxChecksWhenScarce replaces maxChecks when few checks are left in the budget,
	// so that each request can make some.
	maxChecksWhenScarce = 2
	// checkTimeout bounds a health check and the opening of a connection. It allows
	// for a round trip of a few ms to another data centre and for pauses of small VMs.
	checkTimeout = 60 * time.Millisecond
	// firstAnswerWait is the wait for the first answer before more servers are checked,
	// moreAnswersWait the wait for the others after it. Both are longer than a round
	// trip to another data centre.
	firstAnswerWait = 15 * time.Millisecond
	moreAnswersWait = 4 * time.Millisecond
	// probeBudgetShare is the share of the fleet's budget of health checks that is
	// used, because the number of gateways is known only approximately.
	probeBudgetShare = 0.9
	// maxIdleWithoutCheck is the longest time since the last answer on an idle
	// connection after which it is still used without a health check.
	maxIdleWithoutCheck = 500 * time.Millisecond
)

// leasedServer is a server with a leased connection, chosen to receive a request.
type leasedServer struct {
	target    *target
	lease     *upstream.Lease
	candidate placement.Candidate
	// answeredAt is when the server reported its load; zero if it never did.
	answeredAt time.Time
}

func (ls *leasedServer) release() {
	if ls != nil {
		ls.lease.Release()
	}
}

// eligibleTargets returns the servers to check, in groups of rankGroupSize and within
// a group the most promising first. It omits servers in backoff and those already tried.
func eligibleTargets(from []*target, tried map[*upstream.Server]bool, demand placement.Demand, now time.Time) []*target {
	type ranked struct {
		t    *target
		rank placement.Rank
	}
	list := make([]ranked, 0, len(from))
	for _, t := range from {
		if !tried[t.server] && !t.health.inBackoff(now) {
			list = append(list, ranked{t, placement.RankServer(t.candidate(now), now.Sub(t.health.loadAt()), demand)})
		}
	}
	for rest := list; len(rest) > 0; {
		group := rest[:min(rankGroupSize, len(rest))]
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		slices.SortStableFunc(group, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		rest = rest[len(group):]
	}
	out := make([]*target, 0, len(list))
	for _, r := range list {
		out = append(out, r.t)
	}
	return out
}

// findServer checks servers of the gateway's own data centre, and others if none of
// those is good, and returns the best one. Without an answer, a reported load or budget
// for checks it chooses a server unchecked; nil if no connection can be opened.
func (d *dispatcher) findServer(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool) *leasedServer {
	now := time.Now()
	if svc.state.loadUnreported.Load() {
		return d.chooseUnchecked(ctx, svc, demand, tried, now)
	}
	order := eligibleTargets(svc.local, tried, demand, now)
	order = append(order[:min(len(order), maxLocalChecks)], eligibleTargets(svc.remote, tried, demand, now)...)
	limit, rate := maxChecks, d.probeRate(svc)
	if svc.state.checkBudget.RunningLow(rate, now) {
		limit = maxChecksWhenScarce
	}
	order = order[:min(limit, len(order))]
	var best *leasedServer
	for len(order) > 0 && (best == nil || !best.candidate.Good(demand)) {
		n := min(concurrentChecks, len(order))
		found, allowed := d.checkTargets(ctx, svc, order[:n], demand, rate)
		if !allowed {
			break
		}
		best = better(best, found, demand)
		order = order[n:]
	}
	if best != nil {
		return best
	}
	return d.chooseUnchecked(ctx, svc, demand, tried, now)
}

// findForQueued checks a few servers for a request in the queue. It leaves the last
// health checks of the budget to requests that have not checked any server yet, and
// returns nil when only those are left.
func (d *dispatcher) findForQueued(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool) *leasedServer {
	now := time.Now()
	if svc.state.loadUnreported.Load() {
		return d.chooseUnchecked(ctx, svc, demand, tried, now)
	}
	rate := d.probeRate(svc)
	if !svc.state.checkBudget.HasSpare(rate, now) {
		return nil
	}
	order := eligibleTargets(svc.local, tried, demand, now)
	if len(order) < concurrentChecks {
		order = append(order, eligibleTargets(svc.remote, tried, demand, now)...)
	}
	found, _ := d.checkTargets(ctx, svc, order[:min(concurrentChecks, len(order))], demand, rate)
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

// checkTargets sends health checks in parallel and returns the best server that
// answers. Rate is the number of checks that this gateway may send a second; allowed is
// false if the budget is used up.
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

// releaseLate releases the servers whose answers arrive after the wait has ended.
func releaseLate(answers <-chan *leasedServer, left int) {
	for range left {
		(<-answers).release()
	}
}

// probeRate returns this gateway's share of the service's budget of health checks, in
// checks a second.
func (d *dispatcher) probeRate(svc *service) float64 {
	all := d.options.Settings.Budgets.ProbesPerSecond * float64(len(svc.local)+len(svc.remote))
	return probeBudgetShare * all / float64(max(d.options.Members.LiveCount(time.Now()), 1))
}

// checkTarget sends a health check to one server. It returns nil unless the server
// accepts requests.
func (d *dispatcher) checkTarget(ctx context.Context, svc *service, t *target) *leasedServer {
	h, lease, err := t.server.Probe(ctx, checkTimeout)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			t.health.recordFailedCheck(now)
			d.metrics.unansweredChecks.Inc()
		}
		return nil
	}
	if h.WrongServer || lease == nil {
		lease.Release()
		t.health.recordFailedCheck(now)
		return nil
	}
	t.health.recordCheck(h.Load, h.HasLoad)
	if !h.HasLoad && h.OK {
		svc.state.loadUnreported.Store(true)
	}
	if !h.OK {
		lease.Release()
		return nil
	}
	return &leasedServer{target: t, lease: lease, candidate: t.candidate(now), answeredAt: now}
}

// chooseUnchecked chooses a server by its last known state, without a health check. It
// serves services whose servers don't report their load, and requests for which no
// server answers in time.
func (d *dispatcher) chooseUnchecked(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool, now time.Time) *leasedServer {
	targets := eligibleTargets(svc.local, tried, demand, now)
	if len(targets) == 0 {
		targets = eligibleTargets(svc.remote, tried, demand, now)
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
