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
	processes []*os.Process
	servers   []*fake.Server
}

// gatewayFleetOptions configures a fleet; zero values stand for the defaults.
type gatewayFleetOptions struct {
	// MemoryMB is the memory of a gateway's VM. The default is 200.
	MemoryMB int
	// Slots is the number of requests that a server runs at once. The default is 12.
	Slots int
	// Work is how long a request runs. The default is 10 ms.
	Work time.Duration
	// Timeout is the time limit of a request. The default is 2 s.
	Timeout time.Duration
}

// startGatewayFleet starts a fleet and waits until all gateways are ready.
func startGatewayFleet(t *testing.T, o gatewayFleetOptions) *gatewayFleet {
	t.Helper()
	store := fake.NewStore()
	t.Cleanup(store.Close)
	store.Configure(1, []fake.Route{
		{Host: "look", Service: "look", Safe: true, Timeout: cmp.Or(o.Timeout, 2*time.Second)},
		{Host: "book", Service: "look", Timeout: cmp.Or(o.Timeout, 2*time.Second)},
	})
	f := &gatewayFleet{}
	for i := range 3 {
		f.hosts = append(f.hosts, standin.GatewayHost(500+i))
		s, err := fake.NewServer("127.0.0.1:0", fake.ServerOptions{ID: fmt.Sprintf("i-%d", i), Service: "look", Zone: fmt.Sprintf("z%d", i), Slots: cmp.Or(o.Slots, 12), Queue: 4, Work: cmp.Or(o.Work, 10*time.Millisecond)})
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		store.Put(s.Entry())
		f.servers = append(f.servers, s)
	}
	dir := t.TempDir()
	for i, host := range f.hosts {
		file := filepath.Join(dir, fmt.Sprintf("g%d.toml", i))
		settings := standin.GatewaySettings{
			ID: fmt.Sprintf("g%d", i), Zone: fmt.Sprintf("z%d", i), Host: host, Seeds: f.hosts, Store: store.Address(),
			RetrySlack: 60, ProbesPerSecond: 200, MemoryMB: o.MemoryMB,
		}
		assert.NilError(t, settings.Write(file))
		log, err := os.Create(filepath.Join(dir, fmt.Sprintf("g%d.log", i)))
		assert.NilError(t, err)
		process := exec.Command(binary, "gateway", "--settings", file) //nolint:gosec // the program under test
		process.Stdout, process.Stderr = log, log
		assert.NilError(t, process.Start())
		f.processes = append(f.processes, process.Process)
		t.Cleanup(func() {
			_ = process.Process.Kill()
			_ = process.Wait() // killed
			log.Close()
		})
	}
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
	return f
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
