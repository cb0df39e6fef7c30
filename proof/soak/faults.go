package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/baobabstack/baobabstack/platform/fake"
)

// fault is one kind of trouble: it begins, and its end is returned.
type fault struct {
	name  string
	begin func(s *Soak, rng *rand.Rand) (end func())
}

var faults = []fault{
	{"kill", onGateway(func(g *gatewayNode) func() { g.signal(syscall.SIGKILL); return nil })},
	{"kill all", func(s *Soak, _ *rand.Rand) func() {
		for _, g := range s.gateways {
			g.signal(syscall.SIGKILL)
		}
		return nil
	}},
	{"stop", onGateway(func(g *gatewayNode) func() { g.signal(syscall.SIGTERM); return nil })},
	{"reload", onGateway(func(g *gatewayNode) func() { g.signal(syscall.SIGHUP); return nil })},
	{"pause", onGateway(func(g *gatewayNode) func() {
		g.signal(syscall.SIGSTOP)
		return func() { g.signal(syscall.SIGCONT) }
	})},
	{"cut from the store", onGateway(func(g *gatewayNode) func() { g.store.Cut(); g.touched(); return func() { g.store.Heal(); g.touched() } })},
	{"silent store connections", onGateway(func(g *gatewayNode) func() { g.store.Silence(); g.touched(); return nil })},
	{"one-way store", onGateway(func(g *gatewayNode) func() {
		g.store.OneWay(true)
		g.touched()
		return func() { g.store.OneWay(false); g.touched() }
	})},
	{"store busy", onStore(fake.Busy)},
	{"store resets", onStore(fake.Reset)},
	{"store silent", onStore(fake.Silent)},
	{"store slow", onStore(fake.Slow)},
	{"store forgets", func(s *Soak, _ *rand.Rand) func() {
		s.storeTouched()
		s.store.FallBehind()
		s.store.Compact()
		return nil
	}},
	{"server cut", onServer(func(n *serverNode) func() {
		healed := n.trouble(true)
		n.relay.Cut()
		return func() { n.relay.Heal(); healed() }
	})},
	{"server silent", onServer(func(n *serverNode) func() {
		time.AfterFunc(silentFor, n.trouble(true))
		n.relay.Silence()
		return nil
	})},
	{"server delayed", onServer(func(n *serverNode) func() {
		n.relay.Delay(30 * time.Millisecond)
		return func() { n.relay.Delay(0) }
	})},
	{"server slow", onServer(func(n *serverNode) func() { n.server.Slow(6); return func() { n.server.Slow(1) } })},
	{"server loses answers", onServer(breaking(failing(fake.LoseAnswer)))},
	{"server hangs", onServer(breaking(failing(fake.Hang)))},
	{"server fails", onServer(failing(fake.Fail))},
	{"server cuts answers short", onServer(breaking(failing(fake.CutShort)))},
	{"server says it leaves", func(s *Soak, rng *rand.Rand) func() { s.sayLeaving(rng); return nil }},
	{"server asks for a pause", func(s *Soak, rng *rand.Rand) func() {
		all := s.serverList()
		n := all[rng.IntN(len(all))]
		n.server.Refuse(fmt.Sprintf("%.2f", 0.7+3*rng.Float64()))
		return n.server.Accept
	}},
	{"server refuses", onServer(func(n *serverNode) func() { n.server.Refuse(""); return n.server.Accept })},
	{"server replaced", func(s *Soak, rng *rand.Rand) func() { s.replace(rng); return nil }},
	{"configuration", func(s *Soak, _ *rand.Rand) func() { s.configure(); return nil }},
	{"configurations", func(s *Soak, _ *rand.Rand) func() {
		for range 5 {
			s.configure()
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}},
}

func onGateway(do func(*gatewayNode) func()) func(*Soak, *rand.Rand) func() {
	return func(s *Soak, rng *rand.Rand) func() { return do(s.gateways[rng.IntN(len(s.gateways))]) }
}

func onStore(t fake.Trouble) func(*Soak, *rand.Rand) func() {
	return func(s *Soak, _ *rand.Rand) func() {
		s.storeTouched()
		s.store.Trouble(t)
		return func() { s.store.Trouble(fake.Fine); s.storeTouched() }
	}
}

func onServer(do func(*serverNode) func()) func(*Soak, *rand.Rand) func() {
	return func(s *Soak, rng *rand.Rand) func() {
		all := s.serverList()
		return do(all[rng.IntN(len(all))])
	}
}

// silentFor is the time after which no request waits on a silent connection any more.
const silentFor = slowLimit

// breaking notes a fault at a server as trouble that excuses the loss of answers.
func breaking(do func(*serverNode) func()) func(*serverNode) func() {
	return func(n *serverNode) func() {
		over := n.trouble(false)
		end := do(n)
		return func() { end(); over() }
	}
}

// failing breaks every third request.
func failing(f fake.Fault) func(*serverNode) func() { return failingEach(3, f) }

// failingEach breaks every nth request.
func failingEach(n int, f fake.Fault) func(*serverNode) func() {
	return func(s *serverNode) func() {
		s.server.Fault(func(i int) fake.Fault {
			if i%n == 0 {
				return f
			}
			return fake.NoFault
		})
		return func() { s.server.Fault(nil) }
	}
}

// inject begins faults at random until the time is over, so that they overlap, and
// then ends all of them.
func (s *Soak) inject(rng *rand.Rand, length time.Duration) {
	type ending struct {
		at time.Time
		do func()
	}
	var open []ending
	kinds := s.kinds()
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
		f := kinds[rng.IntN(len(kinds))]
		for series := 1 + rng.IntN(2); series > 0; series-- {
			s.note(f.name)
			if stop := f.begin(s, rng); stop != nil {
				open = append(open, ending{time.Now().Add(time.Duration(300+rng.IntN(2500)) * time.Millisecond), stop})
			}
		}
		kept := open[:0]
		for _, e := range open {
			if time.Now().Before(e.at) {
				kept = append(kept, e)
				continue
			}
			e.do()
		}
		open = kept
	}
	for _, e := range open {
		e.do()
	}
	s.rest.Wait()
	s.note("all faults end")
}

// faultGroups are groups of faults by name. A seed draws the same general faults again if the
// other groups grow.
var faultGroups = []struct {
	name   string
	faults []fault
}{{"general", faults}, {"stops", stopFaults}, {"endless", endlessFaults}, {"refusals", refusalFaults}, {"places", placeFaults}, {"copies", copyFaults}}

// kinds returns the kinds of fault to inject: all, or those that are named by themselves or by
// their groups.
func (s *Soak) kinds() []fault {
	var kinds []fault
	for _, group := range faultGroups {
		for _, f := range group.faults {
			if len(s.options.Faults) == 0 || slices.Contains(s.options.Faults, f.name) || slices.Contains(s.options.Faults, group.name) {
				kinds = append(kinds, f)
			}
		}
	}
	return kinds
}

func (s *Soak) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, fmt.Sprintf("%7.3f s  %s", time.Since(s.begin).Seconds(), text))
}

// sayLeaving lets a server say in its answers that it leaves, while the store lists it as
// ready, and starts another of its service.
func (s *Soak) sayLeaving(rng *rand.Rand) {
	all := s.serverList()
	n := all[rng.IntN(len(all))]
	n.mu.Lock()
	first := !n.saysLeaving
	n.saysLeaving = true
	n.mu.Unlock()
	if !first {
		return
	}
	n.server.SayLeaving(true)
	if err := s.startServer(n.service); err != nil {
		s.violation("", "a server can't be started: %v", err)
	}
}

// replace lets a server leave and starts another of its service.
func (s *Soak) replace(rng *rand.Rand) {
	all := s.serverList()
	n := all[rng.IntN(len(all))]
	n.server.Leave(rng.IntN(2) == 0)
	s.store.Put(n.server.Entry())
	n.mu.Lock()
	first := n.left.IsZero()
	if first {
		n.left = time.Now()
	}
	n.mu.Unlock()
	if !first {
		return
	}
	if err := s.startServer(n.service); err != nil {
		s.violation("", "a server can't be started: %v", err)
	}
}
