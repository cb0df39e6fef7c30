//go:build review2

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes what is sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

const (
	history   = 20 * time.Second
	pageItems = 500
	pageBytes = 1 << 20
)

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	floor   uint64
	items   map[string]item
	events  []item
	changed chan struct{}
}

// door is the store's address for one gateway.
type door struct {
	store   *store
	address string
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *store) open() (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, address: l.Addr().String()}
	go func() { _ = (&http.Server{Handler: d}).Serve(l) }()
	return d, nil
}

// put writes a key; its return is the acknowledgement.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, at: time.Now()}
	s.items[key] = it
	s.events = append(s.events, it)
	s.wake()
}

func (s *store) wake() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.floor = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call of a gateway.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := d.answer(r)
	if status == 0 {
		return // the caller has left
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (d *door) answer(r *http.Request) (int, []byte) {
	s, q := d.store, r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-range":
		return http.StatusOK, s.list(q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.watch(r, q.Get("prefix"), after, time.Duration(ms)*time.Millisecond)
	default:
		return http.StatusNotFound, nil
	}
}

func (s *store) list(prefix, after string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := []item{}
	size := 0
	for _, k := range keys {
		if len(page) == pageItems || (len(page) > 0 && size+len(s.items[k].Value) > pageBytes) {
			break
		}
		page = append(page, s.items[k])
		size += len(s.items[k].Value)
	}
	b, _ := json.Marshal(map[string]any{"items": page, "more_pages": len(page) < len(keys), "as_of": s.rev})
	return b
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, []byte) {
	end := time.After(wait)
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		gone, changed, rev := after < s.floor, s.changed, s.rev
		s.mu.Unlock()
		switch {
		case gone:
			return http.StatusGone, nil
		case len(events) > 0 || !waiting:
			b, _ := json.Marshal(map[string]any{"events": events, "as_of": rev})
			return http.StatusOK, b
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return 0, nil
		}
	}
}

// server is a backend server that runs requests as the users' pages say.
type server struct {
	id, service, zone, address string
	slots, queue               int
	work                       atomic.Int64 // nanoseconds of a request
	running, waiting           atomic.Int64
	room                       chan struct{}
	rec                        *record
	quiet                      bool // no lines in the record
	seq                        int
	store                      *store
	body                       int
}

func startServer(rec *record, st *store, id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, queue: 4 * slots, room: make(chan struct{}, slots), rec: rec, store: st, body: 400}
	s.work.Store(int64(work))
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 10 * time.Second}).Serve(l) }()
	go s.keepListed()
	return s, nil
}

// keepListed writes the server's entry at each heartbeat.
func (s *server) keepListed() {
	for ; ; time.Sleep(heartbeat) {
		s.beat("ready")
	}
}

const heartbeat = 1500 * time.Millisecond

func (s *server) beat(state string) {
	s.seq++
	s.store.put("servers/"+s.id, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmup_left":"0ms","sequence":%d,"born":%d}`, s.service, s.address, s.zone, s.slots, state, s.seq, s.rec.start.UnixMilli())))
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		h.Set("Server-Load", s.load())
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if int(s.waiting.Load()) >= s.queue {
		h.Set("Not-Executed", "1")
		h.Set("Server-Load", s.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting.Add(1)
	select {
	case s.room <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	defer func() { <-s.room; s.running.Add(-1) }()
	if !s.quiet {
		s.rec.line("server %s runs %s %s %s", s.id, id, r.Method, r.RequestURI)
	}
	select {
	case <-time.After(time.Duration(s.work.Load())):
	case <-r.Context().Done():
		return
	}
	h.Set("Server-Load", s.load())
	h.Set("Server-Signature", "sig."+s.id+"."+id)
	_, _ = w.Write(bytes.Repeat([]byte("b"), s.body))
}

// gateway is a process of the system.
type gateway struct {
	id, zone, ip string
	callers      string
	cmd          *exec.Cmd
	settings     string
	rec          *record
	exited       chan struct{}
	site         site
	peakMB       atomic.Int64 // of all processes so far
	killed       atomic.Int64 // processes that exceeded the memory
}

const gatewaySettings = `[entry]
id = "%[1]s"
data_centre = "%[2]s"
[listen]
callers = "%[3]s:%[7]d"
ready = "%[3]s:%[8]d"
ready_path = "/v1/ready"
fleet = "%[3]s:%[9]d"
gossip = "%[3]s:%[10]d"
metrics = "%[3]s:%[11]d"
metrics_path = "/metrics"
[fleet]
seeds = [%[4]s]
[store]
address = "%[5]s"
[vm]
memory_mb = %[6]d
link_mbps = %[12]g
max_fds = 4100
[budgets]
retry_ratio = 0.2
retry_slack = %[13]d
retry_window = "10s"
probes_per_second = %[14]d
[stop]
grace = "6s"
`

const (
	frontPort, readyPort, controlPort, gossipPort, metricsPort = 8548, 8542, 8544, 7540, 9102
)

type world struct {
	rec      *record
	dir      string
	store    *store
	gateways []*gateway
	pid      int
}

func newWorld(recordPath string) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{rec: rec, dir: dir, store: newStore(), pid: os.Getpid()}, nil
}

// freeNet returns the third byte of a loopback network whose addresses are free.
func (w *world) freeNet(gateways int) (int, error) {
	for try := range 200 {
		base, free := 2+(w.pid+try)%200, true
		for i := range gateways {
			for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:%d", base, i+1, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// site holds what a site file says of the machines and the bounds.
type site struct {
	memoryMB    int
	linkMbps    float64
	configApply time.Duration
	retrySlack  int
	probesPerS  int
}

var (
	// ablGw is that of sites/abl-gw.toml.
	ablGw = site{memoryMB: 284, linkMbps: 1000, configApply: 2 * time.Second, retrySlack: 62, probesPerS: 60}
	// ablGwGrown is that of grown/abl-gw-grown.toml, with its smallest machines.
	ablGwGrown = site{memoryMB: 184, linkMbps: 200, configApply: 2500 * time.Millisecond, retrySlack: 194, probesPerS: 42}
	// ablGwLarge is that of large/abl-gw-large.toml, with its smallest machines.
	ablGwLarge = site{memoryMB: 184, linkMbps: 20, configApply: 3 * time.Second, retrySlack: 630, probesPerS: 60}
)

// startGateways starts one gateway for each zone, with the commands of the deploy file.
func (w *world) startGateways(s site, zones ...string) error {
	var seeds []string
	base, err := w.freeNet(len(zones))
	if err != nil {
		return err
	}
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.77.%d.%d:%d", base, i+1, controlPort)))
	}
	if len(seeds) > 3 {
		seeds = seeds[:3]
	}
	for i, zone := range zones {
		d, err := w.store.open()
		if err != nil {
			return err
		}
		ip := fmt.Sprintf("127.77.%d.%d", base, i+1)
		g := &gateway{id: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip, callers: fmt.Sprintf("%s:%d", ip, frontPort), rec: w.rec, site: s, settings: filepath.Join(w.dir, fmt.Sprintf("boot-%d.toml", i))}
		text := fmt.Sprintf(gatewaySettings, g.id, zone, ip, strings.Join(seeds, ","), d.address, s.memoryMB, frontPort, readyPort, controlPort, gossipPort, metricsPort, s.linkMbps, s.retrySlack, s.probesPerS)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.start(w.dir); err != nil {
			return err
		}
	}
	return nil
}

func (g *gateway) start(dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, g.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	bound := g.site.configApply.Milliseconds() // config_apply and drain are the same at each of the sites
	g.cmd = exec.Command("target/baobabstack", "gateway", fmt.Sprintf("--configuration-bound=%dms", bound), fmt.Sprintf("--leaving-bound=%dms", bound))
	g.cmd.Env = []string{"BAOBABSTACK_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	g.rec.line("%s started, pid %d", g.id, g.cmd.Process.Pid)
	go func() {
		err := g.cmd.Wait()
		g.rec.line("%s ended: %v", g.id, err)
		close(g.exited)
		_ = log.Close()
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.rec.line("%s gets %v", g.id, s)
	_ = g.cmd.Process.Signal(s)
}

func (g *gateway) alive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// watchMemory does what the platform does with a process that exceeds its memory: it kills it
// and starts it again after a short delay.
func (g *gateway) watchMemory(dir string, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := int64(g.rssMB())
		if mb > g.peakMB.Load() {
			g.peakMB.Store(mb)
		}
		if mb <= int64(g.site.memoryMB) || !g.alive() {
			continue
		}
		g.rec.line("%s uses %d MB of %d: killed, as the platform does", g.id, mb, g.site.memoryMB)
		g.killed.Add(1)
		g.signal(syscall.SIGKILL)
		<-g.exited
		select {
		case <-done:
			return
		case <-time.After(restartDelay):
		}
		if err := g.start(dir); err != nil {
			g.rec.line("%s does not start again: %v", g.id, err)
			return
		}
	}
}

const restartDelay = time.Second

// watchAll starts watchMemory for all gateways; the function that it returns ends it.
func (w *world) watchAll() (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, gw := range w.gateways {
		g.Add(1)
		go func() {
			defer g.Done()
			gw.watchMemory(w.dir, done)
		}()
	}
	return func() {
		close(done)
		g.Wait()
	}
}

// rssMB returns the resident memory of the process in MB.
func (g *gateway) rssMB() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	for _, l := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(l, "VmRSS:") {
			kb, _ := strconv.Atoi(strings.Fields(l)[1])
			return kb >> 10
		}
	}
	return 0
}

func (g *gateway) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/v1/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the gateways did not become ready")

func (w *world) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, g := range w.gateways {
			if g.ready() {
				n++
			}
		}
		if n == len(w.gateways) {
			w.rec.line("all gateways are ready")
			return nil
		}
	}
	return errNotReady
}

// end kills what was started and keeps nothing but the record.
func (w *world) end() {
	for _, g := range w.gateways {
		if g.cmd != nil && g.cmd.Process != nil && g.alive() {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	w.rec.flush()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

var attempts atomic.Uint64

func newAttempt() string { return fmt.Sprintf("%016x", 0x1000+attempts.Add(1)) }

// request returns a request in wire format.
func request(method, host, target, id string, deadlineMs int, body string, more string) string {
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s%s\r\n%s", method, target, host, id, deadlineMs, length, more, body)
}

// call sends one request on a new connection and returns the status, 0 without an answer.
func call(address, method, host, target, id string, deadlineMs int) (int, http.Header, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMs)*time.Millisecond + time.Second))
	if _, err := io.WriteString(c, request(method, host, target, id, deadlineMs, "", "")); err != nil {
		return 0, nil, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, nil, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header, err
}

// routeOf is a route of a configuration.
type routeOf struct {
	Name, Host, Prefix, Type, Service string
	Timeout, Target                   string
	Priority, Attempts                int
}

func (r routeOf) json() map[string]any {
	return map[string]any{"name": r.Name, "host": r.Host, "prefix": r.Prefix, "route_type": r.Type, "timeout": r.Timeout, "target_latency": r.Target, "priority": r.Priority, "service": r.Service, "attempts": r.Attempts}
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []routeOf, services ...string) []byte {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, r.json())
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	return b
}

// readAnswers reads a number of answers and reports whether all came whole.
func readAnswers(c net.Conn, n int) bool {
	r := bufio.NewReader(c)
	for range n {
		res, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
		if err != nil {
			return false
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return false
		}
	}
	return true
}

// serviceOf returns the service in a signature of this program's servers.
func serviceOf(signature string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(signature, "sig.i-"), "-")
	return service
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}
