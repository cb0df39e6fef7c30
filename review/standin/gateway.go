package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the program under test, on a loopback address of its own.
type gateway struct {
	name, zone, host string
	ports            map[string]int // front, ready, control, gossip
	rec              *recorder
	settings, log    string
	cmd              *exec.Cmd
	done             chan struct{}
}

// fleet holds what all gateways of a case share.
type fleet struct {
	dir      string
	store    *store
	rec      *recorder
	gateways []*gateway
}

// hostOf returns a loopback address for the gateway with an index. The process id keeps
// cases that run side by side apart.
func hostOf(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid>>8&0x3f, pid&0xff, 10+i)
}

// prepare sets up a gateway for each of the zones, with the settings that the platform
// renders from the project's template.
func (f *fleet) prepare(zones ...string) error {
	var ports map[string]int
	for i, zone := range zones {
		host := hostOf(i)
		if ports == nil { // all machines have the same ports
			ports = make(map[string]int)
			for _, name := range []string{"front", "ready", "control", "gossip"} {
				l, err := net.Listen("tcp", host+":0")
				if err != nil {
					return err
				}
				defer l.Close()
				ports[name] = l.Addr().(*net.TCPAddr).Port
			}
		}
		f.gateways = append(f.gateways, &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, host: host, ports: ports, rec: f.rec})
	}
	for _, g := range f.gateways {
		if err := g.render(f); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the processes.
func (f *fleet) launch() error {
	for _, g := range f.gateways {
		if err := g.launch(); err != nil {
			return err
		}
	}
	return nil
}

// render writes the settings file from the template of the deploy file.
func (g *gateway) render(f *fleet) error {
	text, err := os.ReadFile("deploy/gateway.toml.tmpl")
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range f.gateways[:min(3, len(f.gateways))] {
		seeds = append(seeds, strconv.Quote(s.address("control")))
	}
	out := strings.NewReplacer(
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","),
		"{{node_name}}", g.name, "{{zone}}", g.zone, "{{ip}}", g.host,
		"{{listen.front}}", g.address("front"), "{{listen.ready}}", g.address("ready"), "{{listen.control}}", g.address("control"),
		"{{internal_port_range.0}}", strconv.Itoa(g.ports["gossip"]), "{{platform.address}}", f.store.address(),
		"{{limits.memory_mb}}", "284", "{{limits.link_mbps}}", "1000.0",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "62", "{{bounds.retry_window}}", "10s",
		"{{bounds.probes_per_s}}", "60", "{{bounds.grace}}", "6s",
	).Replace(string(text))
	if strings.Contains(out, "{{") {
		return fmt.Errorf("deploy/gateway.toml.tmpl has a placeholder that the stand-in doesn't know")
	}
	g.settings = filepath.Join(f.dir, g.name+".toml")
	g.log = filepath.Join(f.dir, g.name+".log")
	return os.WriteFile(g.settings, []byte(out), 0o600)
}

func (g *gateway) address(port string) string {
	return net.JoinHostPort(g.host, strconv.Itoa(g.ports[port]))
}

// launch starts the process with the command of the deploy file.
func (g *gateway) launch() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("target/baobabstack", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BAOBABSTACK_BOOT=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.rec.line("platform started %s, process %d", g.name, g.cmd.Process.Pid)
	cmd, done := g.cmd, make(chan struct{})
	g.done = done
	go func() {
		err := cmd.Wait()
		g.rec.line("process %d of %s ended: %v", cmd.Process.Pid, g.name, err)
		close(done)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.rec.line("platform sends %v to %s", s, g.name)
	_ = g.cmd.Process.Signal(s)
}

// terminate sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (g *gateway) terminate() {
	g.signal(syscall.SIGTERM)
	select {
	case <-g.done:
	case <-time.After(grace):
		g.signal(syscall.SIGKILL)
		<-g.done
	}
}

const grace = 6 * time.Second

// ready reports whether the gateway says that it is ready.
func (g *gateway) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.address("ready")+"/v1/ready", nil)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 15 s", g.name)
}

func (f *fleet) awaitReady() error {
	for _, g := range f.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill()
			<-g.done
		}
	}
}
