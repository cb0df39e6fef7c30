package proof

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/platform/fake"
)

const (
	// stopGrace is the grace period of the fleet's gateways.
	stopGrace = 6 * time.Second
	// stopLossSlack is how long after its last byte a request may meet the end of its
	// connection.
	stopLossSlack = 200 * time.Millisecond
	// stopLateSend is the time after SIGTERM up to which a request was sent that may be lost
	// if its server is at work in the last sixth of the grace period.
	stopLateSend = stopGrace / 2
	// stopServes is how long after SIGTERM requests must be served.
	stopServes = 2 * time.Second
	// stopBreakSlack is how long before its end a server may have finished a run whose answer
	// it didn't send.
	stopBreakSlack = 100 * time.Millisecond
	// stopTimerSlack is the inaccuracy of the callers' clocks.
	stopTimerSlack = 30 * time.Millisecond
)

func ms(least, most int) span {
	return span{time.Duration(least) * time.Millisecond, time.Duration(most) * time.Millisecond}
}

// quickKinds are callers of fast servers.
func quickKinds() []*callerKind {
	kinds := []*callerKind{
		{name: "keep-alive", callers: 8},
		{name: "keep-alive, never closes", callers: 4, lingers: true},
		{name: "a connection for each request", callers: 4, once: true},
		{name: "pipelines", callers: 8, depth: 8},
		{name: "slow head", callers: 16, form: formSlowHead},
		{name: "slow body", callers: 16, form: formSlowBody},
		{name: "slow chunks", callers: 16, form: formSlowChunks},
		{name: "slow body, whole after the lame-duck period", callers: 24, form: formSlowBody, whole: ms(2300, 3600)},
		{name: "slow heads in series", callers: 6, form: formSlowHead, inSeries: true},
		{name: "slow bodies in series", callers: 6, form: formSlowBody, inSeries: true},
		{name: "slow chunks in series", callers: 6, form: formSlowChunks, inSeries: true},
		{name: "many chunks", callers: 6, form: formManyChunks},
		{name: "expects 100 Continue", callers: 6, form: formExpect},
		{name: "never finishes", callers: 3, form: formSlowBody, never: true},
		{name: "never reads", callers: 3, deaf: true, depth: 8},
	}
	for _, k := range kinds {
		k.pause, k.work, k.size, k.patience = 30*time.Millisecond, ms(5, 60), [2]int{0, 2000}, ms(900, 1900)
	}
	return kinds
}

// largeKinds are callers that read large answers or are behind slow links.
func largeKinds() []*callerKind {
	link := &slowLink{up: 100 << 10, down: 800 << 10, delay: 40 * time.Millisecond}
	narrow := &slowLink{up: 20 << 10, down: 60 << 10, delay: 100 * time.Millisecond}
	kinds := []*callerKind{
		{name: "reads slowly, within the deadline", callers: 4, size: [2]int{200 << 10, 800 << 10}, readBytes: 16 << 10, readPause: 10 * time.Millisecond},
		{name: "reads slowly, beyond the deadline", callers: 2, beyond: true, size: [2]int{2 << 20, 3 << 20}, readBytes: 4 << 10, readPause: 5 * time.Millisecond},
		{name: "pipelines and reads slowly", callers: 3, depth: 4, size: [2]int{0, 100 << 10}, readBytes: 16 << 10, readPause: 20 * time.Millisecond},
		{name: "slow link", callers: 6, link: link, size: [2]int{0, 4000}},
		{name: "slow link, large answers", callers: 3, link: link, size: [2]int{100 << 10, 400 << 10}},
		{name: "slow link, pipelines", callers: 6, link: link, depth: 8, size: [2]int{0, 20 << 10}},
		{name: "slow link, slow body", callers: 8, link: link, form: formSlowBody, size: [2]int{0, 20 << 10}},
		{name: "narrow link, pipelines", callers: 4, link: narrow, depth: 6, size: [2]int{0, 2000}},
		{name: "narrow link, slow chunks", callers: 8, link: narrow, form: formSlowChunks, size: [2]int{0, 2000}},
	}
	for _, k := range kinds {
		k.pause, k.work, k.patience = 30*time.Millisecond, ms(5, 60), ms(1500, 1900)
	}
	return kinds
}

// patientKinds are callers of slow servers.
func patientKinds() []*callerKind {
	link := &slowLink{up: 100 << 10, down: 400 << 10, delay: 50 * time.Millisecond}
	kinds := []*callerKind{
		{name: "keep-alive", callers: 16},
		{name: "pipelines", callers: 6, depth: 4},
		{name: "slow head", callers: 12, form: formSlowHead},
		{name: "slow body", callers: 12, form: formSlowBody},
		{name: "slow chunks", callers: 12, form: formSlowChunks},
		{name: "slow bodies in series", callers: 8, form: formSlowBody, inSeries: true},
		{name: "expects 100 Continue", callers: 6, form: formExpect},
		{name: "slow link, pipelines", callers: 6, depth: 4, link: link},
	}
	for _, k := range kinds {
		k.pause, k.work, k.size, k.patience = 30*time.Millisecond, ms(1000, 4000), [2]int{0, 2000}, ms(1500, 5000)
	}
	return kinds
}

// stopCase is a fleet of which one gateway or more stop.
type stopCase struct {
	name    string
	kinds   func() []*callerKind
	timeout time.Duration
	// stops are the moments of SIGTERM. The default is one, for the first gateway.
	stops []time.Duration
	// disturb does something else, at the moment of the first SIGTERM.
	disturb func(t *testing.T, c *stopCalls)
	// killed is a gateway that disturb kills; 0 for none.
	killed int
	// broken is the id of a server that it ends, hung of one that never answers.
	broken, hung string
	short        bool
}

const (
	stopWarmUp = 1500 * time.Millisecond
	// stopAfter is how long callers begin new requests after the last SIGTERM.
	stopAfter = stopGrace - 500*time.Millisecond
)

func signalAfter(t *testing.T, c *stopCalls, after time.Duration, signal os.Signal) {
	time.Sleep(time.Until(c.stops[0].Add(after)))
	select {
	case <-c.fleet.processes[0].ended:
	default:
		assert.Check(t, c.fleet.processes[0].Signal(signal))
	}
}

func stopCases() []stopCase {
	return []stopCase{
		{name: "fast servers", kinds: quickKinds, short: true},
		{name: "large answers and slow links", kinds: largeKinds},
		{name: "slow servers", kinds: patientKinds, timeout: 5 * time.Second, short: true},
		{name: "all gateways in series", kinds: quickKinds, stops: []time.Duration{0, 2 * time.Second, 4 * time.Second}},
		{name: "another gateway is killed", kinds: quickKinds, killed: 1, disturb: func(t *testing.T, c *stopCalls) {
			time.Sleep(500 * time.Millisecond)
			assert.Check(t, c.fleet.processes[1].Kill())
		}},
		{name: "SIGTERM twice and SIGHUP while the store is silent", kinds: quickKinds, disturb: func(t *testing.T, c *stopCalls) {
			c.fleet.store.Trouble(fake.Silent)
			signalAfter(t, c, time.Second, syscall.SIGTERM)
			signalAfter(t, c, 1500*time.Millisecond, syscall.SIGHUP)
			signalAfter(t, c, 3*time.Second, syscall.SIGHUP)
		}},
		{name: "a server hangs", kinds: quickKinds, hung: "i-0", disturb: func(_ *testing.T, c *stopCalls) {
			c.fleet.servers[0].Fault(func(int) fake.Fault { return fake.Hang })
		}},
		{name: "a server is replaced", kinds: quickKinds, broken: "i-1", disturb: func(t *testing.T, c *stopCalls) {
			time.Sleep(time.Second)
			old := c.fleet.servers[1]
			c.brokenAt = time.Now()
			old.Close()
			key, _ := old.Entry()
			c.fleet.store.Delete(key)
			s, err := fake.NewServer("127.0.0.1:0", fake.ServerOptions{ID: "i-new", Service: "look", Zone: "z1", Slots: 64, Queue: 16})
			if !assert.Check(t, err) {
				return
			}
			t.Cleanup(s.Close)
			c.fleet.store.Put(s.Entry())
			c.fleet.servers = append(c.fleet.servers, s)
		}},
	}
}

// stopSeed seeds the callers; another one can be set in the environment.
func stopSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("STOP_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// Guards against requests that are cut, or answered by the gateway while a server is at work
// on them, when a gateway stops: by the way in which callers send, read and are connected.
func TestStopLosesNoRequestOfAnyKindOfCaller(t *testing.T) {
	for i, test := range stopCases() {
		if testing.Short() && !test.short {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startGatewayFleet(t, gatewayFleetOptions{MemoryMB: 400, Slots: 64, Timeout: test.timeout, Index: 400 + 3*i})
			c, kinds := playStop(t, f, &test)
			j := newStopJudge(c, &test)
			served, servable := 0, 0
			for _, k := range kinds {
				t.Run(k.name, func(t *testing.T) {
					a, b := j.judge(t, k)
					if !k.never && !k.deaf && !k.beyond {
						served, servable = served+a, servable+b
					}
				})
			}
			// On a busy machine some requests meet servers that are full.
			assert.Check(t, servable > 0 && served >= servable/4, "%d of %d are served in the lame-duck period", served, servable)
		})
	}
}

// playStop runs the callers and stops gateways, and returns what the callers saw.
func playStop(t *testing.T, f *gatewayFleet, test *stopCase) (*stopCalls, []*callerKind) {
	begin := time.Now().Add(stopWarmUp)
	c := &stopCalls{fleet: f, stops: make([]time.Time, len(f.hosts))}
	c.stops[0] = begin
	for i, after := range test.stops {
		c.stops[i] = begin.Add(after)
	}
	var all sync.WaitGroup
	for i, at := range c.stops {
		if at.IsZero() {
			continue
		}
		c.end = at.Add(stopAfter)
		all.Go(func() {
			time.Sleep(time.Until(at))
			assert.Check(t, f.processes[i].Signal(syscall.SIGTERM))
			<-f.processes[i].ended
			took := f.processes[i].at.Sub(at)
			t.Logf("gateway %d ended after %s", i, took.Round(time.Millisecond))
			assert.Check(t, f.processes[i].state.Success(), "gateway %d: %s", i, f.processes[i].state)
			assert.Check(t, took < stopGrace, "gateway %d ended after %s%s", i, took, f.logLines(i, "stop:")+f.logLines(i, "did not stop")+f.logLines(i, "stopped"))
		})
	}
	if test.disturb != nil {
		all.Go(func() {
			time.Sleep(time.Until(begin))
			test.disturb(t, c)
		})
	}
	kinds := test.kinds()
	for ki, k := range kinds {
		for n := range k.callers {
			all.Go(func() { c.run(k, n, rand.New(rand.NewPCG(stopSeed(), uint64(100*ki+n)))) }) //nolint:gosec // a test's choices
		}
	}
	all.Wait()
	return c, kinds
}

// stopJudge compares what callers saw with what servers ran.
type stopJudge struct {
	calls    *stopCalls
	test     *stopCase
	timeout  time.Duration
	runs     map[string][]fake.Run
	arrivals map[string]int
	broken   map[string]bool // requests that the server that was ended had and didn't answer
	hung     map[string]bool // requests that ran on the server that never answers
}

func newStopJudge(c *stopCalls, test *stopCase) *stopJudge {
	j := &stopJudge{calls: c, test: test, timeout: 2 * time.Second, runs: make(map[string][]fake.Run), arrivals: make(map[string]int), broken: make(map[string]bool), hung: make(map[string]bool)}
	if test.timeout > 0 {
		j.timeout = test.timeout
	}
	finished := make(map[string]bool) // by the server that was ended
	for _, s := range c.fleet.servers {
		for _, r := range s.Runs() {
			j.runs[r.CallID] = append(j.runs[r.CallID], r)
			if s.ID() == test.broken && !r.Left && !r.End.IsZero() && r.End.Before(c.brokenAt.Add(-stopBreakSlack)) {
				finished[r.CallID] = true
			}
			if s.ID() == test.hung {
				j.hung[r.CallID] = true
			}
		}
		for _, a := range s.Arrivals() {
			j.arrivals[a.CallID]++
			if s.ID() == test.broken && !finished[a.CallID] {
				j.broken[a.CallID] = true
			}
		}
	}
	return j
}

const shownFailures = 4

// judge checks the requests of a kind of caller, and returns how many of those that could be
// served in the lame-duck period were.
func (j *stopJudge) judge(t *testing.T, k *callerKind) (served, servable int) {
	tally := make(map[string]int)
	failures := 0
	for _, x := range j.calls.sights {
		if x.kind != k {
			continue
		}
		verdict, fault := j.verdict(x)
		if j.servable(x) {
			servable++
			if x.status == 200 {
				served++
			}
			if x.status == 503 && strings.Contains(j.calls.fleet.logLines(x.gateway, x.id), "reason=stopping") {
				verdict, fault = "refused in the lame-duck period", true
			}
		}
		tally[verdict]++
		if !fault {
			continue
		}
		t.Fail()
		if failures++; failures <= shownFailures {
			t.Logf("%s: %s%s", verdict, j.describe(x), j.calls.fleet.logLines(x.gateway, x.id))
		}
	}
	t.Logf("%d of %d served in the lame-duck period; %v", served, servable, tally)
	return served, servable
}

// servable reports whether a request that was sent in the lame-duck period can be served.
func (j *stopJudge) servable(x *sight) bool {
	stop := j.calls.stops[0]
	return x.gateway == 0 && x.sent.After(stop) && x.sent.Before(stop.Add(stopServes)) && !x.behindClosing && !j.hung[x.id] &&
		x.work < x.patience/2 && x.work < stopGrace/3
}

// verdict returns what became of a request, and whether that is a fault.
func (j *stopJudge) verdict(x *sight) (string, bool) {
	ran := len(j.runs[x.id])
	switch {
	case x.unsafe && ran > 1:
		return "ran twice", true
	case x.why != "" && x.status != 0 || x.body == "no request":
		return "wrong answer", true
	case x.status == 200 && !x.signed:
		return "200 without a server", true
	case x.status == 200:
		return "200", false
	case x.unsafe && ran > 0 && (x.status == 503 || x.status == 429 || x.status == 408 || x.status == 421):
		return fmt.Sprintf("%d although it ran", x.status), true
	case x.status == 502 || x.status == 504:
		if j.arrivals[x.id] > 0 && !j.excused(x, x.answered) {
			return fmt.Sprintf("%d in place of the server's answer", x.status), true
		}
		return strconv.Itoa(x.status), false
	case x.status != 0:
		return strconv.Itoa(x.status), x.status != 503 && x.status != 408
	case x.behindClosing:
		if ran > 0 || j.arrivals[x.id] > 0 {
			return "ran behind a closing answer", true
		}
		return "behind a closing answer", false
	default:
		return j.unanswered(x)
	}
}

// unanswered is the verdict on a request without a whole answer.
func (j *stopJudge) unanswered(x *sight) (string, bool) {
	passedOn := j.arrivals[x.id] > 0
	switch {
	case j.test.killed > 0 && x.gateway == j.test.killed:
		return "killed", false
	case x.left:
		return "caller left", false
	case x.sent.IsZero() && passedOn:
		return "ran before it was whole", true
	case x.sent.IsZero() || x.sent.After(x.ended):
		return "not whole", false
	case !passedOn && x.behind:
		return "behind another", false
	case !passedOn && x.ended.Sub(x.sent) <= stopLossSlack:
		return "crossed the close", false
	case j.excused(x, x.ended):
		return "cut, excused", false
	case !passedOn:
		return "read and cut", true
	default:
		return "passed on and cut", true
	}
}

// excused reports whether a request may be without an answer at a time: its deadline or the
// route's timeout is over, its server broke off, or the server was still at work in the last
// sixth of the grace period.
func (j *stopJudge) excused(x *sight, at time.Time) bool {
	if !x.sent.IsZero() && !at.Before(x.sending.Add(min(x.patience, j.timeout)-stopTimerSlack)) || j.broken[x.id] {
		return true
	}
	stop := j.calls.stops[x.gateway]
	if stop.IsZero() || x.sent.After(stop.Add(stopLateSend)) {
		return false
	}
	for _, r := range j.runs[x.id] {
		if r.End.IsZero() || r.End.After(stop.Add(stopGrace*5/6)) {
			return true
		}
	}
	return false
}

// describe tells what the caller saw, in times since the SIGTERM.
func (j *stopJudge) describe(x *sight) string {
	stop := j.calls.stops[x.gateway]
	if stop.IsZero() {
		stop = j.calls.stops[0]
	}
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return at.Sub(stop).Round(time.Millisecond).String()
	}
	text := fmt.Sprintf("%s at gateway %d, unsafe=%t behind=%t %s deadline %s; begun %s, sent %s, answered %s, ended %s; status %d; %q",
		x.id, x.gateway, x.unsafe, x.behind, x.target, x.patience, since(x.begun), since(x.sent), since(x.answered), since(x.ended), x.status, x.why)
	for _, r := range j.runs[x.id] {
		text += fmt.Sprintf("\n  ran from %s to %s, left=%t", since(r.At), since(r.End), r.Left)
	}
	return text
}

// logLines returns the lines of a gateway's log that hold a text.
func (f *gatewayFleet) logLines(gateway int, text string) string {
	file, err := os.Open(f.logs[gateway])
	if err != nil {
		return "\n  " + err.Error()
	}
	defer file.Close()
	var out strings.Builder
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if strings.Contains(lines.Text(), text) {
			out.WriteString("\n  " + lines.Text())
		}
	}
	return out.String()
}
