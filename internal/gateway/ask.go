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
	// askAtOnce is how many servers are asked side by side; more are asked only if
	// none of these is good, because health checks are budgeted.
	askAtOnce = 2
	// favourites is how many servers of each data centre are asked first. With a
	// third of the servers slow, all of them are slow once in some hundred times.
	favourites = 6
	// askNear is how many servers of the own data centre are asked for one send, and
	// askMost how many in all, so that a call whose data centre is full finds room
	// elsewhere.
	askNear = 6
	askMost = 8
	// askSparing is how many are asked once health checks are scarce, so that each
	// request can ask some.
	askSparing = 2
	// askTimeout bounds a health check: a few ms to and from another data centre,
	// and pauses of small VMs.
	askTimeout = 60 * time.Millisecond
	// firstAnswer is how long the first answer is waited for before others are
	// asked, and settleAfter how long the rest once there is one. Both are above a
	// way to another data centre and back.
	firstAnswer = 15 * time.Millisecond
	settleAfter = 4 * time.Millisecond
	// probeShare of the fleet's probe budget is spent: the number of gateways is
	// known only roughly.
	probeShare = 0.9
	// recentAnswer is how recently an idle connection must have carried an answer
	// to be used without asking first.
	recentAnswer = 500 * time.Millisecond
)

// offer is a server that has just answered.
type offer struct {
	target    *target
	lease     *upstream.Lease
	candidate placement.Candidate
	// answeredAt is when the server told the load.
	answeredAt time.Time
}

func (o *offer) release() {
	if o != nil {
		o.lease.Release()
	}
}

// usable returns the servers to ask, the favourites first and of these the most
// promising, without those that rest or have been tried.
func usable(from []*target, tried map[*upstream.Server]bool, demand placement.Demand, now time.Time) []*target {
	type ranked struct {
		t    *target
		rank placement.Rank
	}
	list := make([]ranked, 0, len(from))
	for _, t := range from {
		if !tried[t.server] && !t.health.rests(now) {
			list = append(list, ranked{t, placement.RankServer(t.candidate(now), now.Sub(t.health.loadAt()), demand)})
		}
	}
	for first := list; len(first) > 0; {
		part := first[:min(favourites, len(first))]
		rand.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
		slices.SortStableFunc(part, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		first = first[len(part):]
	}
	out := make([]*target, 0, len(list))
	for _, r := range list {
		out = append(out, r.t)
	}
	return out
}

// find asks servers of the own data centre, and others if none of those is good,
// and returns the best; nil if none answers.
func (d *dispatcher) find(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool) *offer {
	now := time.Now()
	if svc.state.mute.Load() {
		return d.guess(ctx, svc, demand, tried, now)
	}
	order := usable(svc.near, tried, demand, now)
	order = append(order[:min(len(order), askNear)], usable(svc.far, tried, demand, now)...)
	most, rate := askMost, d.probeRate(svc)
	if svc.state.asks.RunningLow(rate, now) {
		most = askSparing
	}
	order = order[:min(most, len(order))]
	var best *offer
	for len(order) > 0 && (best == nil || !best.candidate.Good(demand)) {
		n := min(askAtOnce, len(order))
		found, allowed := d.ask(ctx, svc, order[:n], demand, rate)
		if !allowed {
			break
		}
		best = better(best, found, demand)
		order = order[n:]
	}
	if best != nil {
		return best
	}
	return d.guess(ctx, svc, demand, tried, now)
}

// look asks a few servers for a request that waits. It leaves health checks to the
// requests that have not asked yet, and returns nil without them.
func (d *dispatcher) look(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool) *offer {
	now := time.Now()
	if svc.state.mute.Load() {
		return d.guess(ctx, svc, demand, tried, now)
	}
	rate := d.probeRate(svc)
	if !svc.state.asks.HasSpare(rate, now) {
		return nil
	}
	order := usable(svc.near, tried, demand, now)
	if len(order) < askAtOnce {
		order = append(order, usable(svc.far, tried, demand, now)...)
	}
	found, _ := d.ask(ctx, svc, order[:min(askAtOnce, len(order))], demand, rate)
	return found
}

// better returns the better of two offers and releases the other.
func better(a, b *offer, demand placement.Demand) *offer {
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

// ask sends health checks side by side and returns the best server that answers.
// Rate is how many of them this gateway may send a second; allowed is false if they
// are used up.
func (d *dispatcher) ask(ctx context.Context, svc *service, targets []*target, demand placement.Demand, rate float64) (best *offer, allowed bool) {
	if !svc.state.asks.Take(len(targets), rate, time.Now()) {
		d.metrics.unasked.Inc()
		return nil, false
	}
	answers := make(chan *offer, len(targets))
	for _, t := range targets {
		go func() { answers <- d.check(ctx, svc, t) }()
	}
	timer := time.NewTimer(firstAnswer)
	defer timer.Stop()
	for left := len(targets); left > 0; left-- {
		select {
		case o := <-answers:
			if best == nil && o != nil {
				timer.Reset(settleAfter)
			}
			best = better(best, o, demand)
		case <-timer.C:
			go discardLate(answers, left)
			return best, true
		}
	}
	return best, true
}

func discardLate(answers <-chan *offer, left int) {
	for range left {
		(<-answers).release()
	}
}

// probeRate is this gateway's part of the health checks that a service's servers
// may get a second.
func (d *dispatcher) probeRate(svc *service) float64 {
	all := d.options.Settings.Budgets.ProbesPerSecond * float64(len(svc.near)+len(svc.far))
	return probeShare * all / float64(max(d.options.Members.Live(time.Now()), 1))
}

// check asks one server. It returns nil unless the server takes calls.
func (d *dispatcher) check(ctx context.Context, svc *service, t *target) *offer {
	h, lease, err := t.server.Probe(ctx, askTimeout)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			t.health.unanswered(now)
			d.metrics.silent.Inc()
		}
		return nil
	}
	if h.WrongServer || lease == nil {
		lease.Release()
		t.health.unanswered(now)
		return nil
	}
	t.health.asked(h.Load, h.HasLoad)
	if !h.HasLoad && h.OK {
		svc.state.mute.Store(true)
	}
	if !h.OK {
		lease.Release()
		return nil
	}
	return &offer{target: t, lease: lease, candidate: t.candidate(now), answeredAt: now}
}

// guess chooses by what is remembered, for services whose servers tell no load
// and when no server answers in time.
func (d *dispatcher) guess(ctx context.Context, svc *service, demand placement.Demand, tried map[*upstream.Server]bool, now time.Time) *offer {
	targets := usable(svc.near, tried, demand, now)
	if len(targets) == 0 {
		targets = usable(svc.far, tried, demand, now)
	}
	candidates := make([]placement.Candidate, 0, len(targets))
	for _, t := range targets {
		c := t.candidate(now)
		c.Running = max(c.Running, t.server.InFlight())
		candidates = append(candidates, c)
	}
	for len(targets) > 0 {
		i := placement.Best(candidates, demand)
		lease, err := targets[i].server.Open(ctx, askTimeout, recentAnswer)
		if err == nil {
			return &offer{target: targets[i], lease: lease, candidate: candidates[i], answeredAt: targets[i].health.loadAt()}
		}
		targets[i].health.unanswered(now)
		targets, candidates = slices.Delete(targets, i, i+1), slices.Delete(candidates, i, i+1)
	}
	return nil
}
