package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// gatewayNode is one gateway: a process that is started again when it ends.
type gatewayNode struct {
	id       string
	host     string
	settings string
	log      string
	store    *standin.Relay // its own way to the store

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed at the end of the process
	started time.Time
	calm    time.Time // no fault has touched it since
	// disturbed is the last fault at the gateway other than a stop and a reload, and
	// stopped when it was last told to stop.
	disturbed, stopped time.Time
	// disturbances holds all such faults and the starts of processes.
	disturbances []time.Time
	closing      bool
}

func (g *gatewayNode) callers() string {
	return fmt.Sprintf("%s:%d", g.host, standin.GatewayCallersPort)
}

// serverNode is one server behind a relay.
type serverNode struct {
	server  *fake.Server
	relay   *standin.Relay
	service string
	mu      sync.Mutex
	left    time.Time // when the store took that it leaves
	// saysLeaving is set once the server's answers say that it leaves.
	saysLeaving bool
	calm        time.Time
}

// startGateways writes the settings of all gateways and starts them.
func (s *Soak) startGateways() error {
	var hosts []string
	for i := range s.options.Gateways {
		hosts = append(hosts, standin.GatewayHost(i))
	}
	for i, host := range hosts {
		relay, err := standin.NewRelay(s.store.Address())
		if err != nil {
			return err
		}
		g := &gatewayNode{id: fmt.Sprintf("g%d", i), host: host, store: relay, calm: time.Now()}
		g.settings = filepath.Join(s.dir, g.id+".toml")
		g.log = filepath.Join(s.dir, g.id+".log")
		settings := standin.GatewaySettings{
			ID: g.id, Zone: zone(i), Host: host, Seeds: hosts[:min(3, len(hosts))], Store: relay.Address,
			RetrySlack: retrySlack, ProbesPerSecond: probesPerSecond,
		}
		if err := settings.Write(g.settings); err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if err := g.start(s.options); err != nil {
			return err
		}
	}
	return nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%2) }

// start starts the process, and again each time it ends, as a platform does.
func (g *gatewayNode) start(o Options) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing {
		return nil
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	cmd := exec.Command(o.Binary, "gateway", "--settings", g.settings) //nolint:gosec // the program under test
	cmd.Stdout, cmd.Stderr = out, out
	if o.Defect != "" {
		cmd.Env = append(os.Environ(), "BAOBAB_DEFECT="+o.Defect)
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", o.Binary)
	}
	ended := make(chan struct{})
	g.process, g.ended, g.started, g.calm = cmd, ended, time.Now(), time.Now()
	g.disturbances = append(g.disturbances, g.started)
	go func() {
		_ = cmd.Wait() // ended by a fault, or by itself, which the log tells
		_ = out.Close()
		close(ended)
		time.Sleep(restartPause)
		_ = g.start(o)
	}()
	return nil
}

// restartPause is how long a platform takes to start a process again.
const restartPause = 300 * time.Millisecond

// signal sends a signal to the gateway's present process.
func (g *gatewayNode) signal(sig os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calm = time.Now()
	switch sig {
	case syscall.SIGTERM:
		g.stopped = g.calm
	case syscall.SIGHUP:
	default:
		g.disturbed = g.calm
		g.disturbances = append(g.disturbances, g.calm)
	}
	_ = g.process.Process.Signal(sig) // it may just have ended
}

// stoppedOnly reports whether the gateway was told to stop before the end of a request, and
// nothing else has happened to it since contact before the request was sent.
func (g *gatewayNode) stoppedOnly(sent, end time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return end.Sub(g.stopped) < stopGrace+time.Second && sent.Sub(g.disturbed) > contact
}

// disturbedBetween reports whether a fault touched the gateway, or a process of it started,
// in a span of time.
func (g *gatewayNode) disturbedBetween(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.disturbances, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// stopGrace is the time that gateways have to stop.
const stopGrace = 6 * time.Second

// touched notes a fault at the gateway.
func (g *gatewayNode) touched() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calm, g.disturbed = time.Now(), time.Now()
	g.disturbances = append(g.disturbances, g.calm)
}

// since returns when the present process started and since when no fault touched
// it.
func (g *gatewayNode) since() (started, calm time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started, g.calm
}

// close ends the process. Its addresses are free for the next run then.
func (g *gatewayNode) close() {
	g.mu.Lock()
	g.closing = true
	ended := g.ended
	g.mu.Unlock()
	if ended != nil {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-ended
	}
	g.store.Close()
}

// startServer starts a server behind a relay and registers it.
func (s *Soak) startServer(service string) error {
	s.serial++
	o := fake.ServerOptions{ID: fmt.Sprintf("i-%d", s.serial), Service: service, Zone: zone(s.serial), Slots: 4, Queue: 4, Work: workTime}
	server, err := fake.NewServer("127.0.0.1:0", o)
	if err != nil {
		return errors.Wrap(err, "start a server")
	}
	relay, err := standin.NewRelay(server.Address())
	if err != nil {
		return err
	}
	server.Advertise(relay.Address)
	n := &serverNode{server: server, relay: relay, service: service, calm: time.Now()}
	s.mu.Lock()
	s.servers = append(s.servers, n)
	s.mu.Unlock()
	s.store.Put(server.Entry())
	return nil
}
