package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain-half-lost"] = drainHalfLost }

var moveBooking = route{name: "move-booking", service: "reposition", timeout: 1500 * time.Millisecond, target: 500 * time.Millisecond, attempts: 2}

const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
)

// absences records when machines were not in touch.
type absences struct {
	mu   sync.Mutex
	list map[*gateway][]period
}

type period struct{ from, to time.Time }

func (a *absences) begin(g *gateway) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list[g] = append(a.list[g], period{from: time.Now()})
}

// end notes that the disruption of a machine is over: it is in touch after contact.
func (a *absences) end(g *gateway) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.list[g]
	l[len(l)-1].to = time.Now().Add(contact)
}

// inTouch reports whether a machine was in touch from one time to another.
func (a *absences) inTouch(g *gateway, from, to time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.list[g] {
		if to.After(p.from) && (p.to.IsZero() || from.Before(p.to)) {
			return false
		}
	}
	return true
}

// leaver is a server that leaves, and when the store acknowledged that.
type leaver struct {
	s     *server
	acked time.Time
}

const (
	leaving = 2                      // servers replaced in a round
	dark    = 2 * time.Second        // how long machines are without power
	stays   = 700 * time.Millisecond // longer than drain
)

// drainHalfLost replaces servers while half of the machines lose power for two seconds.
func drainHalfLost(r *run) (bool, error) {
	const (
		servers = 6
		rounds  = 14
		gap     = 7 * time.Second
	)
	r.store.configure(16, 260, moveBooking)
	o := serverOptions{service: "reposition", slots: 6, queue: 24, work: 210 * time.Millisecond}
	live, err := r.servers(servers, o, threeZones...)
	if err != nil {
		return false, err
	}
	var zones []string
	for i := range 17 {
		zones = append(zones, threeZones[i%len(threeZones)])
	}
	if err := r.startFleet(zones...); err != nil {
		return false, err
	}
	all := &requests{}
	stopClients := r.startBooking(all)
	time.Sleep(2 * time.Second)
	away := &absences{list: make(map[*gateway][]period)}
	var left []leaver
	for round := range rounds {
		begin := time.Now()
		for i := range leaving {
			o.zone, o.id = live[i].o.zone, fmt.Sprintf("i-reposition-%d-%d", round, i)
			s, err := newServer(r.store, r.rec, o)
			if err != nil {
				return false, err
			}
			live = append(live, s)
		}
		time.Sleep(60 * time.Millisecond)
		out, err := r.leaveInTheDark(live[:leaving], away)
		if err != nil {
			return false, err
		}
		live, left = live[leaving:], append(left, out...)
		time.Sleep(time.Until(begin.Add(gap)))
	}
	stopClients()
	late, lost := lateArrivals(r, all.list, left, away)
	r.report(all.list)
	r.rec.say("requests that reached a server later than drain after the acknowledgement: %d; of these not answered with its success: %d", late, lost)
	return late > 0, nil
}

// startBooking starts four clients for each gateway, and returns a function that stops
// them.
func (r *run) startBooking(all *requests) func() {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	b := newBalancer(r.gateways)
	for _, g := range r.gateways {
		for range 4 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				book(r, b, g, all, stop)
			}()
		}
	}
	return func() {
		close(stop)
		clients.Wait()
	}
}

// leaveInTheDark makes gateways lose power, makes servers leave, starts the gateways again
// and ends the servers.
func (r *run) leaveInTheDark(servers []*server, away *absences) ([]leaver, error) {
	var lost []*gateway
	if r.trouble {
		lost = firstOfZones(r.gateways, 3)
	}
	for _, g := range lost {
		away.begin(g)
		g.signal(syscall.SIGSTOP)
	}
	var out []leaver
	for _, s := range servers {
		s.drain()
		out = append(out, leaver{s, time.Now()})
		r.rec.line("store acknowledged that server %s is draining", s.o.id)
	}
	time.Sleep(dark)
	for _, g := range lost {
		g.signal(syscall.SIGKILL)
		<-g.done
		if err := g.launch(); err != nil {
			return nil, err
		}
		away.end(g)
	}
	time.Sleep(time.Until(out[0].acked.Add(drain + stays)))
	for _, l := range out {
		r.rec.line("server %s exits", l.s.o.id)
		l.s.exit()
	}
	return out, nil
}

// book sends bookings to one gateway, one at a time, on a connection that it keeps.
func book(r *run, b *balancer, g *gateway, all *requests, stop <-chan struct{}) {
	var c *clientConn
	for {
		select {
		case <-stop:
			if c != nil {
				c.giveUp()
			}
			return
		case <-time.After(time.Duration((0.2 + 0.6*rand.Float64()) * float64(time.Second))):
		}
		if c == nil || !c.open() {
			if !b.inRotation(g) {
				continue
			}
			var err error
			if c, err = connect(r.rec, g, g.address("front")); err != nil {
				c = nil
				continue
			}
		}
		if q := c.send(moveBooking, moveBooking.timeout, `{"box":"MODU1234567","to":"Dire Dawa"}`); q != nil {
			all.add(q)
			waitIdle(c)
		}
	}
}

// lateArrivals counts the requests that the rule DRAIN counts, and those of them that
// their client didn't get a success for.
func lateArrivals(r *run, list []*request, left []leaver, away *absences) (late, lost int) {
	for _, q := range list {
		for _, l := range left {
			arrived, ok := l.s.arrived(q.id)
			if !ok || !arrived.After(l.acked.Add(drain)) || !away.inTouch(q.gateway, q.sent.Add(-contact), arrived) {
				continue
			}
			late++
			if q.status != 200 {
				lost++
			}
			r.rec.line("DRAIN %s: sent to %s, reached server %s %.3f s after the store acknowledged that it is draining; answered %d", q.id,
				q.gateway.name, l.s.o.id, arrived.Sub(l.acked).Seconds(), q.status)
		}
	}
	return late, lost
}
