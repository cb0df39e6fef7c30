package proof

import (
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

// gatewayFleet is three gateways as processes, each in a data centre with one server.
type gatewayFleet struct {
	hosts   []string
	servers []*fake.Server
}

func startGatewayFleet(t *testing.T) *gatewayFleet {
	t.Helper()
	store := fake.NewStore()
	t.Cleanup(store.Close)
	store.Configure(1, []fake.Route{{Host: "look", Service: "look", Safe: true, Timeout: time.Second}})
	f := &gatewayFleet{}
	for i := range 3 {
		f.hosts = append(f.hosts, standin.GatewayHost(500+i))
		s, err := fake.NewServer("127.0.0.1:0", fake.ServerOptions{ID: fmt.Sprintf("i-%d", i), Service: "look", Zone: fmt.Sprintf("z%d", i), Slots: 12, Queue: 4, Work: 10 * time.Millisecond})
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
			RetrySlack: 60, ProbesPerSecond: 200,
		}
		assert.NilError(t, settings.Write(file))
		log, err := os.Create(filepath.Join(dir, fmt.Sprintf("g%d.log", i)))
		assert.NilError(t, err)
		process := exec.Command(binary, "gateway", "--settings", file) //nolint:gosec // the program under test
		process.Stdout, process.Stderr = log, log
		assert.NilError(t, process.Start())
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

// load sends requests from 18 callers on kept connections for a time, and returns how many
// were sent and how many of them were served whole.
func (f *gatewayFleet) load(length time.Duration) (sent, served int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for c := range 18 {
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

// Guards against a fleet that sends a third of its requests to a server that refuses all of
// them while it reports that all its slots are free.
func TestFleetServesAroundAServerThatRefusesEverything(t *testing.T) {
	for _, test := range []struct {
		name, retryAfter string
		until            time.Duration // from the recovery until the server carries its share
	}{
		{"without Retry-After", "", 5 * time.Second},
		{"with Retry-After", "4", 4*time.Second + 5*time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startGatewayFleet(t)
			f.load(time.Second)
			refusing := f.servers[0]
			refusing.Refuse(test.retryAfter)
			f.load(time.Second)
			before := len(refusing.Arrivals())
			sent, served := f.load(5 * time.Second)
			refused := len(refusing.Arrivals()) - before
			t.Logf("%d of %d served, %d refused once", served, sent, refused)
			assert.Assert(t, float64(served) >= 0.99*float64(sent), "%d of %d", served, sent)
			assert.Assert(t, float64(refused) < 0.02*float64(sent), "%d of %d", refused, sent)
			refusing.Accept()
			f.load(test.until)
			before = len(refusing.Arrivals())
			sent, _ = f.load(time.Second)
			share := float64(len(refusing.Arrivals())-before) / float64(sent)
			t.Logf("share after the recovery: %.2f", share)
			assert.Assert(t, share > 0.8/3, "%.2f", share)
		})
	}
}
