package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The bounds of the site abl-gw, as its settings give them.
const (
	boundContact     = 3 * time.Second
	boundConfigApply = 2 * time.Second
	boundDrain       = 2 * time.Second
	boundGrace       = 6 * time.Second
)

// Ports are the same on all machines; each gateway has an address of its own.
const (
	portFront, portReady, portControl, portGossip, portMetrics = 8548, 8542, 8544, 7540, 9102
)

// gateway is a process of the project, started with the command of deploy/system.toml.
type gateway struct {
	name, zone, ip string
	settings       string
	cmd            *exec.Cmd
	log            *os.File
	done           chan struct{}
}

// render fills in deploy/gateway.toml.tmpl as the platform does.
func (g *gateway) render(template []byte, seeds []string, store string) []byte {
	quoted := make([]string, 0, len(seeds))
	for _, s := range seeds {
		quoted = append(quoted, `"`+s+`"`)
	}
	text := string(template)
	between := func(open, closing, with string) {
		for {
			i := strings.Index(text, open)
			if i < 0 {
				return
			}
			j := strings.Index(text[i:], closing)
			text = text[:i] + with + text[i+j+len(closing):]
		}
	}
	between("{{#seeds}}", "{{/seeds}}", strings.Join(quoted, ","))
	between("{{#limits.max_fds}}", "{{/limits.max_fds}}", "max_fds = 4100\n")
	between("{{#bounds.cold_overage}}", "{{/bounds.cold_overage}}", "")
	between("{{#bounds.cold_slack}}", "{{/bounds.cold_slack}}", "")
	at := func(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }
	for name, value := range map[string]string{
		"node_name": g.name, "zone": g.zone, "ip": g.ip, "listen.front": at(portFront), "listen.ready": at(portReady),
		"listen.control": at(portControl), "internal_port_range.0": fmt.Sprint(portGossip), "platform.address": store,
		"limits.memory_mb": "284", "limits.link_mbps": "1000.0", "bounds.retry_budget_ratio": "0.2",
		"bounds.retry_budget_slack": "62", "bounds.retry_window": "10s", "bounds.probes_per_s": "60", "bounds.grace": "6s",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return []byte(text)
}

// start starts the process, with the settings in force at that moment.
func (g *gateway) start() error {
	cmd := exec.Command("target/baobabstack", "gateway", "--configuration-bound="+boundConfigApply.String(), "--leaving-bound="+boundDrain.String())
	// The processor list of a machine shows one core.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABSTACK_BOOT=" + g.settings, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.cmd, g.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *gateway) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.cmd == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.done
}

func (g *gateway) front() string { return fmt.Sprintf("%s:%d", g.ip, portFront) }

// ready reports whether the process counts as ready.
func (g *gateway) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/v1/ready", g.ip, portReady))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// newGateways prepares gateways in the zones given, one each, without starting them.
func newGateways(dir, store string, zones []string) ([]*gateway, error) {
	template, err := os.ReadFile("deploy/gateway.toml.tmpl")
	if err != nil {
		return nil, err
	}
	net8 := 20 + os.Getpid()%200
	var all []*gateway
	for i, zone := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", net8, os.Getpid()/200%250, 10+i)
		for _, port := range []int{portFront, portReady, portControl, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return nil, err
			}
			l.Close()
		}
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		log, err := os.Create(filepath.Join(dir, name+".log"))
		if err != nil {
			return nil, err
		}
		all = append(all, &gateway{name: name, zone: zone, ip: ip, log: log, settings: filepath.Join(dir, name+".toml")})
	}
	var seeds []string
	for _, g := range all[:min(3, len(all))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", g.ip, portControl))
	}
	for _, g := range all {
		text := g.render(template, seeds, store)
		if bytes.Contains(text, []byte("{{")) {
			return nil, fmt.Errorf("the template has placeholders that this stand-in doesn't know: %s", text)
		}
		if err := os.WriteFile(g.settings, text, 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}
