package standin

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// FleetOptions configures a fleet for a test.
type FleetOptions struct {
	// Entries is the number of entry processes.
	Entries int
	// Servers configures the fake servers of each service.
	Servers map[string][]ServerOptions
	// Plans and Allowances are the operators' lists; the samples if nil.
	Plans, Allowances []byte
	// TracingEndpoint is where entries export spans; nowhere if empty.
	TracingEndpoint string
	// CallersSettings holds further lines of each entry's [callers] table.
	CallersSettings string
	// PlatformEach gives each entry a configuration service of its own, so that a
	// test can cut or age it.
	PlatformEach bool
	// PlatformFor returns the configuration service of the entry with the given
	// index, or nil for the fleet's own. The caller publishes its lists.
	PlatformFor func(entry int) *Platform
	// Started is called once addresses are known, before the entries start.
	Started func(*Fleet)
	// Binary is the program to run as entries; see BuildBinary.
	Binary string
	// Log takes the entries' logs; nil drops them.
	Log io.Writer
}

// Fleet is a platform and fake servers in this process, and entries as
// processes of their own.
type Fleet struct {
	// Platform is the configuration service.
	Platform *Platform
	// PlatformURL is its base URL.
	PlatformURL string
	// Platforms holds all configuration services, in the order of the entries if
	// each has its own; the first is Platform.
	Platforms []*Platform
	// Servers holds the fake servers by id.
	Servers map[string]*RunningServer
	// Entries holds the entries in order.
	Entries []*EntryProcess

	dir       string
	options   FleetOptions
	http      []*http.Server
	platforms map[string]string // URL by entry id
}

// RunningServer is a fake server with a listener.
type RunningServer struct {
	*Server
	// Info is the server's line in the platform's list.
	Info lists.Server

	http  *http.Server
	conns *connCounter
}

// CloseListener makes the server refuse connects; open connections still work.
func (s *RunningServer) CloseListener() { s.conns.Close() }

// Open returns the number of open connections.
func (s *RunningServer) Open() int { return s.conns.count(false) }

// MostOpen returns the most connections that were open at a time.
func (s *RunningServer) MostOpen() int { return s.conns.count(true) }

// Kill closes the listener and all connections at once.
func (s *RunningServer) Kill() error { return errors.WithStack(s.http.Close()) }

// StartFleet starts everything and waits until each entry is ready. Close ends
// it, also after an error.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	f := &Fleet{Platform: NewPlatform(), Servers: make(map[string]*RunningServer), options: o}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "baobabstack-fleet-")
	if err != nil {
		return errors.WithStack(err)
	}
	f.dir = dir
	server, address, err := listen(f.Platform.Handler())
	if err != nil {
		return err
	}
	f.http = append(f.http, server)
	f.PlatformURL = "http://" + address
	f.Platforms = []*Platform{f.Platform}
	if f.options.PlatformEach {
		for range f.options.Entries - 1 {
			f.Platforms = append(f.Platforms, NewPlatform())
		}
	}
	for service, options := range f.options.Servers {
		for _, o := range options {
			if err := f.addServer(service, o); err != nil {
				return err
			}
		}
	}
	for i := range f.options.Entries {
		e, err := NewEntryProcess(fmt.Sprintf("vm-%d", i+1))
		if err != nil {
			return err
		}
		e.CallersSettings = f.options.CallersSettings
		e.TracingEndpoint = f.options.TracingEndpoint
		f.Entries = append(f.Entries, e)
	}
	f.publishAll()
	if err := f.startPlatforms(); err != nil {
		return err
	}
	if f.options.Started != nil {
		f.options.Started(f)
	}
	return f.startEntries(ctx)
}

// startPlatforms serves the platforms of entries that have one of their own.
func (f *Fleet) startPlatforms() error {
	f.platforms = make(map[string]string)
	for i, e := range f.Entries {
		f.platforms[e.ID] = f.PlatformURL
		platform := f.platformOf(i)
		if platform == nil {
			continue
		}
		server, address, err := listen(platform.Handler())
		if err != nil {
			return err
		}
		f.http = append(f.http, server)
		f.platforms[e.ID] = "http://" + address
	}
	return nil
}

// platformOf returns the platform of an entry if it has one of its own that is
// not served yet.
func (f *Fleet) platformOf(i int) *Platform {
	if f.options.PlatformFor != nil {
		return f.options.PlatformFor(i)
	}
	if f.options.PlatformEach && i > 0 {
		return f.Platforms[i]
	}
	return nil
}

// Publish publishes the next version of a list at all configuration services and
// returns the version at the first.
func (f *Fleet) Publish(name lists.Name, body []byte) uint64 {
	for _, platform := range f.Platforms[1:] {
		platform.Publish(string(name), body)
	}
	return f.Platform.Publish(string(name), body)
}

func (f *Fleet) addServer(service string, o ServerOptions) error {
	s := NewServer(o)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	counter := &connCounter{Listener: listener}
	server := &http.Server{Handler: s.Handler(), ConnState: counter.change}
	go func() { _ = server.Serve(counter) }()
	info := lists.Server{ID: o.ID, Service: service, Address: listener.Addr().String(), DataCentre: "modjo", State: lists.Live}
	f.Servers[o.ID] = &RunningServer{Server: s, Info: info, http: server, conns: counter}
	return nil
}

func (f *Fleet) publishAll() {
	plans, allowances := f.options.Plans, f.options.Allowances
	if plans == nil {
		plans = SamplePlans()
	}
	if allowances == nil {
		allowances = SampleAllowances()
	}
	f.Publish(lists.PlansName, plans)
	f.Publish(lists.AllowancesName, allowances)
	f.PublishServers()
	f.PublishVMs()
}

// PublishServers publishes the servers list as Info says.
func (f *Fleet) PublishServers() {
	var list []lists.Server
	for _, s := range f.Servers {
		list = append(list, s.Info)
	}
	f.Publish(lists.ServersName, SampleServers(list))
}

// PublishVMs publishes the list of all entries as live.
func (f *Fleet) PublishVMs() {
	var list []lists.VM
	for _, e := range f.Entries {
		list = append(list, e.VM())
	}
	f.Publish(lists.VMsName, SampleVMs(list))
}

func (f *Fleet) startEntries(ctx context.Context) error {
	for _, e := range f.Entries {
		if err := f.StartEntry(e); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := e.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts an entry's process, again after it has ended.
func (f *Fleet) StartEntry(e *EntryProcess) error {
	log := cmp.Or[io.Writer](e.Log, f.options.Log, io.Discard)
	return e.Start(f.options.Binary, f.dir, f.platforms[e.ID], log)
}

// Close kills the entries and closes everything.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		_ = e.Signal(syscall.SIGKILL)
		_ = e.Wait()
	}
	for _, s := range f.Servers {
		_ = s.http.Close()
	}
	for _, s := range f.http {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func listen(h http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.WithStack(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

var buildMu sync.Mutex

// BuildBinary builds the program with optional build tags into dir and returns
// its path.
func BuildBinary(dir string, tags string) (string, error) {
	buildMu.Lock()
	defer buildMu.Unlock()
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Join(filepath.Dir(file), "..", "..")
	binary := filepath.Join(dir, "baobabstack")
	cmd := exec.Command("go", "build", "-tags", tags, "-o", binary, "./cmd/baobabstack")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return binary, errors.Wrapf(err, "build: %s", out)
}
