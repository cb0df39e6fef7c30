package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// Options configures a run.
type Options struct {
	// Binary is the program under test.
	Binary string
	// Seed draws the faults.
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Gateways and Callers are how many of each run.
	Gateways, Callers int
	// Defect names a deliberate defect to switch on; the binary must have been
	// built with the tag defects.
	Defect string
	// Faults names the kinds of fault to inject; empty means all.
	Faults []string
}

const (
	retrySlack      = 40
	probesPerSecond = 200
	workTime        = 20 * time.Millisecond
	// drainBound and configBound are the platform's bounds for leaving servers and
	// changed configurations; contact is how long nothing may have been disturbed
	// for them to hold.
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	contact     = 3 * time.Second
	// reportedViolations of a kind are shown.
	reportedViolations = 5
	// recovery is the platform's bound after the last fault.
	recovery = 15 * time.Second
	// callersPerPipeline is the number of callers for each that pipelines its requests.
	callersPerPipeline = 6
	// slowPerCaller is the number of slow callers for each caller.
	slowPerCaller = 2
	// callersPerServer is the number of callers for each server of a service.
	callersPerServer = 6
	// recoveryChecks requests are sent then, of which nine in ten must be served.
	recoveryChecks = 50
)

// Soak is one run.
type Soak struct {
	options  Options
	dir      string
	store    *fake.Store
	gateways []*gatewayNode
	serial   int
	begin    time.Time
	memory   int            // of a gateway's VM, in MB
	rest     sync.WaitGroup // of faults that go on beside others
	// restarting is held while the gateways restart and a service refuses.
	restarting sync.Mutex
	// evacuating is held while a data centre is evacuated.
	evacuating sync.Mutex
	// copying is held from when a copy of the store is made until all that it lacks is written again.
	copying sync.Mutex

	mu          sync.Mutex
	servers     []*serverNode
	places      map[string]place // by data centre
	claims      []claim
	leaving     map[leavingAnswer]time.Time // when a caller first got such an answer
	behind      []claim                     // sent behind an answer that ended their connections
	lostBy      map[string]int              // requests whose answers a stop took, by kind
	peak        int                         // the most memory of a gateway's process, in MB
	history     []string
	violations  []violation
	version     int
	versionAt   time.Time
	storeCalmAt time.Time
}

// violation is a broken promise. Those of a kind have the same kind.
type violation struct{ kind, text string }

// Run runs a soak and writes what it found. It returns the number of violations.
func Run(o Options, out io.Writer) (int, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, errors.Wrap(err, "make a directory for logs")
	}
	s := &Soak{
		options: o, dir: dir, store: fake.NewStore(), begin: time.Now(), memory: standin.GatewaySettings{}.Memory(),
		places: make(map[string]place), leaving: make(map[leavingAnswer]time.Time), lostBy: make(map[string]int),
	}
	defer s.close()
	if total, err := machineMemory(); err != nil || o.Gateways*s.memory > total/2 {
		return 0, errors.Errorf("%d gateways of %d MB may take over half of the machine's memory: %d MB (%v)", o.Gateways, s.memory, total, err)
	}
	s.configure()
	for range max(4, o.Callers/callersPerServer) {
		for _, service := range []string{"look", "book"} {
			if err := s.startServer(service); err != nil {
				return 0, err
			}
		}
	}
	if err := s.startGateways(); err != nil {
		return 0, err
	}
	if !s.served(recovery) {
		return 0, errors.Errorf("the fleet does not start to serve; logs are in %s", s.dir)
	}
	s.play()
	s.report(out)
	return len(s.violations), nil
}

// play runs callers and faults, and then the checks.
func (s *Soak) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range s.options.Callers {
		running.Go(func() { s.caller(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(i)+1))) }) //nolint:gosec // not secret
	}
	for i := range s.options.Callers / callersPerPipeline {
		running.Go(func() { s.pipeliningCaller(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(i)+1<<32))) }) //nolint:gosec // not secret
	}
	for i := range s.options.Callers * slowPerCaller {
		running.Go(func() { s.slowCaller(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(i)+2<<32))) }) //nolint:gosec // not secret
	}
	for _, g := range s.gateways {
		running.Go(func() { s.watchVersions(ctx, g) })
		running.Go(func() { s.watchMemory(ctx, g) })
	}
	running.Go(func() { s.watchLeaving(ctx) })
	s.inject(rand.New(rand.NewPCG(s.options.Seed, 0)), s.options.Length) //nolint:gosec // not secret
	if !s.served(recovery) {
		s.violation("", "requests are not served %s after the last fault", recovery)
	}
	time.Sleep(contact + configBound)
	cancel()
	running.Wait()
	time.Sleep(callerDeadline) // servers end what still runs
	s.checkRuns()
}

// served waits until nine in ten requests are served.
func (s *Soak) served(bound time.Duration) bool {
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		good := 0
		for i := range recoveryChecks {
			c := claim{id: fmt.Sprintf("s%d", serial.Add(1)), gateway: s.gateways[i%len(s.gateways)]}
			if s.request(client, &c, "look") == http.StatusOK {
				good++
			}
		}
		if good >= recoveryChecks*9/10 {
			return true
		}
	}
	return false
}

// checkRuns compares what callers were told with what servers ran.
func (s *Soak) checkRuns() {
	runs := make(map[string]int)
	checks := 0
	for _, n := range s.serverList() {
		for _, r := range n.server.Runs() {
			runs[r.CallID]++
		}
		asked, _ := n.server.Counts()
		checks += asked
	}
	for _, c := range s.claims {
		switch n := runs[c.id]; {
		case c.unsafe && n > 1:
			s.violation(c.id, "an unsafe request ran %d times", n)
		case n > 2:
			s.violation(c.id, "a request ran %d times, 2 attempts are allowed", n)
		case n > 0 && c.unsafe && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
			s.violation(c.id, "an unsafe request was said not to have run, with status %d, and ran", c.status)
		}
	}
	for _, c := range s.behind {
		if runs[c.id] > 0 {
			s.violation(c.id, "a request behind an answer that ended its connection ran; its caller sends it again")
		}
	}
	s.checkLost()
	used := s.checkRetryBudget()
	if rate := float64(checks) / time.Since(s.begin).Seconds() / float64(len(s.serverList())); rate > probesPerSecond {
		s.violation("", "%.0f health checks a server and second, %d are allowed", rate, probesPerSecond)
	}
	s.checkStanding()
	s.checkPlaces()
	s.note(fmt.Sprintf("%d requests, %d health checks, %d calls to the store, %d MB at most in a gateway, %.2f of the retry budget", len(s.claims), checks, s.store.Calls(), s.peak, used))
}

// watchLeaving checks that leaving servers get no new work.
func (s *Soak) watchLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		calm := s.storeCalm()
		for _, g := range s.gateways {
			if _, at := g.since(); at.After(calm) {
				calm = at
			}
		}
		for _, n := range s.serverList() {
			n.mu.Lock()
			left := n.left
			n.mu.Unlock()
			last := n.server.LastCall()
			if !left.IsZero() && last.Sub(left) > drainBound && last.Sub(calm) > contact+drainBound {
				s.violation("", "a server of %s got work %s after it began to leave", n.service, last.Sub(left).Round(time.Millisecond))
			}
		}
	}
}

// configure writes the next version of the configuration: a route for the host vn,
// and for the one before.
func (s *Soak) configure() {
	s.mu.Lock()
	s.version++
	n := s.version
	s.versionAt = time.Now()
	s.mu.Unlock()
	s.store.Configure(n, []fake.Route{
		{Host: "look", Service: "look", Safe: true, Timeout: time.Second},
		{Host: "book", Service: "book", Timeout: time.Second},
		{Host: "slowlook", Service: "look", Safe: true, Timeout: slowLimit},
		{Host: "slowbook", Service: "book", Timeout: slowLimit},
		{Host: fmt.Sprintf("v%d", n), Service: "look", Safe: true, Timeout: time.Second},
		{Host: fmt.Sprintf("v%d", n-1), Service: "look", Safe: true, Timeout: time.Second},
	})
}

func (s *Soak) configured() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.versionAt
}

func (s *Soak) storeTouched() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeCalmAt = time.Now()
}

func (s *Soak) storeCalm() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeCalmAt
}

// calmFor reports whether a bound holds by now: it runs from a moment, and nothing
// may have been disturbed since the others plus contact.
func (s *Soak) calmFor(bound time.Duration, from time.Time, disturbed ...time.Time) bool {
	for _, at := range disturbed {
		if at = at.Add(contact); at.After(from) {
			from = at
		}
	}
	return time.Since(from) > bound
}

func (s *Soak) claimed(c claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = append(s.claims, c)
}

// behindClosing notes requests that were sent behind an answer that ends their connection.
func (s *Soak) behindClosing(list []claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind = append(s.behind, list...)
}

func (s *Soak) serverList() []*serverNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*serverNode(nil), s.servers...)
}

// violation notes a broken promise, with the log lines of the request.
func (s *Soak) violation(id, format string, args ...any) {
	text := fmt.Sprintf("%7.3f s  %s %s", time.Since(s.begin).Seconds(), id, fmt.Sprintf(format, args...))
	s.mu.Lock()
	same := 0
	for _, v := range s.violations {
		if v.kind == format {
			same++
		}
	}
	s.mu.Unlock()
	if same < reportedViolations {
		for _, line := range s.logLines(id) {
			text += "\n    " + line
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, violation{format, text})
}

func (s *Soak) logLines(id string) []string {
	if id == "" {
		return nil
	}
	var lines []string
	for _, g := range s.gateways {
		f, err := os.Open(g.log)
		if err != nil {
			continue // it has not started yet
		}
		for scanner := bufio.NewScanner(f); scanner.Scan(); {
			if strings.Contains(scanner.Text(), "id="+id+" ") {
				lines = append(lines, g.id+": "+scanner.Text())
			}
		}
		_ = f.Close()
	}
	return lines
}

func (s *Soak) report(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d violations; %s\n", s.options.Seed, len(s.violations), s.history[len(s.history)-1])
	if len(s.violations) == 0 {
		_ = os.RemoveAll(s.dir)
		return
	}
	for _, h := range s.history {
		fmt.Fprintln(out, "  ", h)
	}
	kinds := make(map[string]int)
	for _, v := range s.violations {
		if kinds[v.kind]++; kinds[v.kind] <= reportedViolations {
			fmt.Fprintln(out, "VIOLATION", v.text)
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(out, "   %d of: %s\n", kinds[kind], kind)
	}
	for _, kind := range slices.Sorted(maps.Keys(s.lostBy)) {
		fmt.Fprintf(out, "   %d answers lost around a stop by callers: %s\n", s.lostBy[kind], kind)
	}
	fmt.Fprintln(out, "logs:", s.dir)
}

func (s *Soak) close() {
	for _, g := range s.gateways {
		g.close()
	}
	for _, n := range s.serverList() {
		n.server.Close()
		n.relay.Close()
	}
	s.store.Close()
}
