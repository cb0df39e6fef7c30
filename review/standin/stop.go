package main

import (
	"sync"
	"time"
)

func init() { cases["pipeline-stop"] = pipelineStop }

var (
	stockCheck = route{name: "stock-check", service: "boxfinder", safe: true, timeout: 1200 * time.Millisecond, target: 400 * time.Millisecond, attempts: 2}
	threeZones = []string{"modjo", "adama", "addis-ab"}
)

const clientDelay = 3 * time.Millisecond // one way, between clients and machines

// startStock starts three gateways and the servers of boxfinder.
func (r *run) startStock() error {
	r.store.configure(16, 260, stockCheck)
	if _, err := r.startServers(9); err != nil {
		return err
	}
	return r.startFleet(threeZones...)
}

var allServers []*server

func (r *run) startServers(n int) ([]*server, error) {
	list, err := r.servers(n, serverOptions{service: "boxfinder", slots: 6, queue: 24, work: 160 * time.Millisecond, load: true}, threeZones...)
	allServers = append(allServers, list...)
	return list, err
}

func (r *run) startFleet(zones ...string) error {
	if err := r.prepare(zones...); err != nil {
		return err
	}
	if err := r.launch(); err != nil {
		return err
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // longer than contact
	return nil
}

// passedOn returns when a server began to run a request.
func passedOn(id string) (*server, time.Time, bool) {
	for _, s := range allServers {
		if t, ok := s.began(id); ok {
			return s, t, true
		}
	}
	return nil, time.Time{}, false
}

// requests holds all requests of a case.
type requests struct {
	mu   sync.Mutex
	list []*request
}

func (l *requests) add(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, q)
}

// lostAtStop returns the requests that the rule LOST counts at a stop of the gateway that
// began at the given time.
func (r *run) lostAtStop(list []*request, g *gateway, term time.Time) (lost []*request) {
	for _, q := range list {
		if q.gateway != g || q.cut.IsZero() || q.gaveUp || q.behindLast || q.cut.Before(term) || q.cut.After(term.Add(grace+time.Second)) {
			continue
		}
		s, began, ok := passedOn(q.id)
		if !ok || began.After(q.cut) || !q.cut.Before(q.deadline) || !q.cut.Before(q.sent.Add(q.route.timeout)) {
			continue
		}
		if q.cut.After(term.Add(grace*5/6)) && !q.sent.After(term.Add(3*time.Second)) {
			continue // the server was still at work in the last sixth of grace
		}
		lost = append(lost, q)
		r.rec.line("LOST %s: sent %.3f s after SIGTERM, began to run at %s %.3f s after it, connection ended %.3f s after it", q.id,
			q.sent.Sub(term).Seconds(), s.o.id, began.Sub(term).Seconds(), q.cut.Sub(term).Seconds())
	}
	return lost
}

// pipelineStop stops a gateway whose clients send further safe requests before the first
// has been answered.
func pipelineStop(r *run) (bool, error) {
	const (
		conns    = 3
		interval = 35 * time.Millisecond
	)
	if err := r.startStock(); err != nil {
		return false, err
	}
	g := r.gateways[0]
	k, err := newLink(g.address("front"), clientDelay)
	if err != nil {
		return false, err
	}
	all := &requests{}
	stop := make(chan struct{})
	b := newBalancer(r.gateways)
	var wg sync.WaitGroup
	for range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			pipeline(r, b, g, k.address(), interval, all, stop)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	term := time.Now()
	if r.trouble {
		g.terminate()
	} else {
		time.Sleep(grace)
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	wg.Wait()
	lost := r.lostAtStop(all.list, g, term)
	r.report(all.list)
	r.rec.say("requests that the rule counts as lost: %d", len(lost))
	return len(lost) > 0, nil
}

func (r *run) report(list []*request) {
	ok, other, cut, gaveUp := 0, 0, 0, 0
	for _, q := range list {
		switch {
		case q.gaveUp:
			gaveUp++
		case !q.cut.IsZero():
			cut++
		case q.status == 200 && q.signed:
			ok++
		default:
			other++
		}
	}
	r.rec.say("sent %d: served %d, other answers %d, no answer %d, clients gave up %d", len(list), ok, other, cut, gaveUp)
}

// pipeline sends requests on one connection at intervals, whether those before are answered
// or not. It respects Connection: close, and opens another connection while the gateway is
// in rotation.
func pipeline(r *run, b *balancer, g *gateway, address string, interval time.Duration, all *requests, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if !b.inRotation(g) {
			continue
		}
		c, err := connect(r.rec, g, address)
		if err != nil {
			continue
		}
		sendAtIntervals(c, interval, all, stop)
	}
}

func sendAtIntervals(c *clientConn, interval time.Duration, all *requests, stop <-chan struct{}) {
	defer c.giveUp()
	for {
		q := c.send(stockCheck, stockCheck.timeout, "")
		if q == nil {
			waitIdle(c)
			return
		}
		all.add(q)
		next := time.After(interval)
		for waiting := true; waiting; {
			select {
			case <-c.answers:
			case <-next:
				waiting = false
			case <-c.ended:
				return
			case <-stop:
				waitIdle(c)
				return
			}
		}
	}
}

// waitIdle waits for the answers that are outstanding.
func waitIdle(c *clientConn) {
	for c.outstanding() > 0 {
		select {
		case <-c.answers:
		case <-c.ended:
			return
		case <-time.After(2 * time.Second):
			return
		}
	}
}
