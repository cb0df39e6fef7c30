package proof

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// gatewayFleet is three gateways as processes, each in a data centre with one server. Safe
// requests go to the host look.example, unsafe ones to book.example.
type gatewayFleet struct {
	hosts     []string
	processes []*gatewayProcess
	servers   []*fake.Server
	store     *fake.Store
	files     []string // the gateways' settings files
	logs      []string // the files that the gateways log to
}

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	*os.Process
	ended chan struct{} // closed when the process has ended
	state *os.ProcessState
	at    time.Time // when it ended
}

func startGatewayProcess(file string, log *os.File) (*gatewayProcess, error) {
	process := exec.Command(binary, "gateway", "--settings", file) //nolint:gosec // the program under test
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return nil, err
	}
	p := &gatewayProcess{Process: process.Process, ended: make(chan struct{})}
	go func() {
		_ = process.Wait() // the state tells
		p.state, p.at = process.ProcessState, time.Now()
		close(p.ended)
	}()
	return p, nil
}

// fleetRetrySlack is the number of extra sends that a service may get in a window regardless
// of the number of requests.
const fleetRetrySlack = 60

// gatewayFleetOptions configures a fleet; zero values stand for the defaults.
type gatewayFleetOptions struct {
	// MemoryMB is the memory of a gateway's VM. The default is 200.
	MemoryMB int
	// MaxFDs is the number of descriptors of a gateway's VM. The default is no bound.
	MaxFDs int
	// Slots is the number of requests that a server runs at once. The default is 12.
	Slots int
	// Work is how long a request runs. The default is 10 ms.
	Work time.Duration
	// Timeout is the timeout of the routes. The default is 2 s.
	Timeout time.Duration
	// RetryWindow is the window of the retry budget. The default is 10 s.
	RetryWindow time.Duration
	// Seeds are the hosts of gateways by which each gateway finds the others. The default is
	// the fleet's own gateways.
	Seeds []string
	// Index is the index of the first gateway's host; fleets that run side by side have
	// different ones. The default is 500.
	Index int
}

// startGatewayFleet starts a fleet and waits until all gateways are ready.
func startGatewayFleet(t *testing.T, o gatewayFleetOptions) *gatewayFleet {
	t.Helper()
	store := fake.NewStore()
	t.Cleanup(store.Close)
	timeout := cmp.Or(o.Timeout, 2*time.Second)
	store.Configure(1, []fake.Route{
		{Host: "look", Service: "look", Safe: true, Timeout: timeout},
		{Host: "book", Service: "look", Timeout: timeout},
	})
	f := &gatewayFleet{store: store}
	for i := range 3 {
		f.hosts = append(f.hosts, standin.GatewayHost(cmp.Or(o.Index, 500)+i))
		s, err := fake.NewServer("127.0.0.1:0", fake.ServerOptions{ID: fmt.Sprintf("i-%d", i), Service: "look", Zone: fmt.Sprintf("z%d", i), Slots: cmp.Or(o.Slots, 12), Queue: 4, Work: cmp.Or(o.Work, 10*time.Millisecond)})
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		store.Put(s.Entry())
		f.servers = append(f.servers, s)
	}
	seeds := f.hosts
	if o.Seeds != nil {
		seeds = o.Seeds
	}
	dir := t.TempDir()
	for i, host := range f.hosts {
		file := filepath.Join(dir, fmt.Sprintf("g%d.toml", i))
		settings := standin.GatewaySettings{
			ID: fmt.Sprintf("g%d", i), Zone: fmt.Sprintf("z%d", i), Host: host, Seeds: seeds, Store: store.Address(),
			RetrySlack: fleetRetrySlack, RetryWindow: o.RetryWindow, ProbesPerSecond: 200, MemoryMB: o.MemoryMB, MaxFDs: o.MaxFDs,
		}
		assert.NilError(t, settings.Write(file))
		log := filepath.Join(dir, fmt.Sprintf("g%d.log", i))
		f.files, f.logs = append(f.files, file), append(f.logs, log)
		f.processes = append(f.processes, nil)
		f.start(t, i)
	}
	f.awaitReady(t)
	return f
}

// start starts a gateway, whose earlier process must have ended.
func (f *gatewayFleet) start(t *testing.T, i int) {
	t.Helper()
	log, err := os.OpenFile(f.logs[i], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	process, err := startGatewayProcess(f.files[i], log)
	assert.NilError(t, err)
	f.processes[i] = process
	t.Cleanup(func() {
		_ = process.Kill()
		<-process.ended
		log.Close()
	})
}

// awaitReady waits until all gateways are ready.
func (f *gatewayFleet) awaitReady(t *testing.T) {
	t.Helper()
	for _, host := range f.hosts {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			res, err := http.Get(fmt.Sprintf("http://%s:%d/ready", host, standin.GatewayReadyPort))
			if err != nil {
				return poll.Continue("%v", err)
			}
			res.Body.Close()
			if res.StatusCode != http.StatusOK {
				return poll.Continue("status %d", res.StatusCode)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
}

// load sends requests from a number of callers on kept connections for a time, and returns
// how many were sent and how many of them were served whole.
func (f *gatewayFleet) load(number int, length time.Duration) (sent, served int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for c := range number {
		callers.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				ok := lookOnce(client, f.hosts[c%len(f.hosts)])
				mu.Lock()
				sent++
				if ok {
					served++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return sent, served
}

func lookOnce(client *http.Client, host string) bool {
	id := fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/x", host, standin.GatewayCallersPort), nil)
	if err != nil {
		return false
	}
	req.Host = "look.example"
	names := platform.Dialect()
	req.Header.Set(names.CallID, id)
	req.Header.Set(names.Deadline, "900")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && string(body) == id+" GET /x "
}
