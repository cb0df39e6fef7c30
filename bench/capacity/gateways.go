package capacity

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform/fake"
)

const (
	// serversPerGateway is the proportion of the target: 3,400 servers, 200 entries.
	serversPerGateway = 10
	// warmupEvery is how often a starting server writes how long it is still slow.
	warmupEvery = time.Second
	// warmupSteps spread these writes over the second.
	warmupSteps = 5
	startLimit  = time.Minute
)

// Gateways returns the measure of what a gateway costs without callers, by the
// size of the fleet.
func Gateways() report.Measure { return report.Measure{Name: "gateways", Run: runGateways} }

func runGateways(ctx context.Context, o report.Options) ([]report.Line, error) {
	sizes, window := []int{30, 100, 200}, 6*time.Second
	if o.Short {
		sizes, window = []int{10, 30}, 2*time.Second
	}
	var lines []report.Line
	for _, n := range sizes {
		l, err := measureGateways(ctx, o.Binary, n, window)
		if err != nil {
			return nil, err
		}
		lines = append(lines, l...)
	}
	return lines, nil
}

// gatewayFleet is a store with entries of servers that don't exist, and gateways
// as processes.
type gatewayFleet struct {
	store     *fake.Store
	processes []*exec.Cmd
	servers   int
	writes    int
}

func measureGateways(ctx context.Context, binary string, n int, window time.Duration) ([]report.Line, error) {
	f := &gatewayFleet{store: fake.NewStore(), servers: n * serversPerGateway}
	defer f.close()
	dir, err := os.MkdirTemp("", "gateways")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer os.RemoveAll(dir)
	f.store.Configure(1, []fake.Route{{Host: "a", Service: "a", Timeout: time.Second}, {Host: "b", Service: "b", Timeout: time.Second}, {Host: "c", Service: "c", Timeout: time.Second}})
	for i := range f.servers {
		f.write(i)
	}
	took, err := f.start(ctx, binary, dir, n)
	if err != nil {
		return nil, err
	}
	used, err := f.spent()
	if err != nil {
		return nil, err
	}
	name := func(what string) string { return fmt.Sprintf("gateways.%s.at-%d", what, n) }
	lines := []report.Line{
		report.Info(name("ready"), took.Seconds(), "s"),
		report.Info(name("start.cpu"), 1000*used.Seconds()/float64(n), "ms"),
	}
	warm, err := f.during(window, func() { f.warmUp(window) })
	if err != nil {
		return nil, err
	}
	idle, err := f.during(window, func() { time.Sleep(window) })
	if err != nil {
		return nil, err
	}
	memory := 0.0
	for _, p := range f.processes {
		bytes, err := residentBytes(p.Process.Pid)
		if err != nil {
			return nil, err
		}
		memory = max(memory, bytes)
	}
	return append(lines, report.Info(name("warm-up.cpu"), warm, "%"), report.Info(name("idle.cpu"), idle, "%"), report.Info(name("memory"), memory/(1<<20), "MB")), nil
}

// write writes the entry of a server that is still slow from its start.
func (f *gatewayFleet) write(i int) {
	f.writes++
	id := uint32(i) * 2654435761 //nolint:gosec // a hash
	f.store.Put(fake.Entry{
		ID: fmt.Sprintf("i-%08x", id), Service: string(rune('a' + i%3)), Address: fmt.Sprintf("127.0.%d.%d:9", i/250, i%250),
		Zone: fmt.Sprintf("z%d", i/3%3), Slots: 6, Warmup: time.Duration(f.writes) * time.Millisecond, Sequence: f.writes,
	}.Item())
}

// warmUp lets every server write once a second.
func (f *gatewayFleet) warmUp(window time.Duration) {
	for end := time.Now().Add(window); time.Now().Before(end); {
		for step := range warmupSteps {
			for i := step; i < f.servers; i += warmupSteps {
				f.write(i)
			}
			time.Sleep(warmupEvery / warmupSteps)
		}
	}
}

// start starts all gateways and returns how long it took until the last was ready.
func (f *gatewayFleet) start(ctx context.Context, binary, dir string, n int) (time.Duration, error) {
	seeds := []string{standin.GatewayHost(0), standin.GatewayHost(1), standin.GatewayHost(2)}
	began := time.Now()
	for i := range n {
		s := standin.GatewaySettings{
			ID: fmt.Sprintf("g%d", i), Zone: fmt.Sprintf("z%d", i%3), Host: standin.GatewayHost(i), Seeds: seeds,
			Store: f.store.Address(), RetrySlack: 100, ProbesPerSecond: 40,
		}
		file := filepath.Join(dir, s.ID+".toml")
		if err := s.Write(file); err != nil {
			return 0, err
		}
		cmd := exec.CommandContext(ctx, binary, "gateway", "--settings", file) //nolint:gosec // the program under test
		if err := cmd.Start(); err != nil {
			return 0, errors.Wrapf(err, "start %s", binary)
		}
		f.processes = append(f.processes, cmd)
	}
	for i := range n {
		if err := waitReady(ctx, fmt.Sprintf("http://%s:%d/ready", standin.GatewayHost(i), standin.GatewayReadyPort)); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

func waitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return errors.WithStack(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		if ctx.Err() != nil {
			return errors.Errorf("%s is not ready after %s", url, startLimit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// spent returns the processor time that all gateways have used.
func (f *gatewayFleet) spent() (time.Duration, error) {
	var total time.Duration
	for _, p := range f.processes {
		used, err := cpuTime(p.Process.Pid)
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

// during returns the percentage of a core that a gateway uses meanwhile.
func (f *gatewayFleet) during(window time.Duration, action func()) (float64, error) {
	before, err := f.spent()
	if err != nil {
		return 0, err
	}
	action()
	after, err := f.spent()
	return 100 * (after - before).Seconds() / window.Seconds() / float64(len(f.processes)), err
}

func (f *gatewayFleet) close() {
	for _, p := range f.processes {
		_ = p.Process.Kill()
	}
	for _, p := range f.processes {
		_ = p.Wait() // killed just now
	}
	f.store.Close()
}
