package peers

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
)

var linksDropped = metrics.NewCounter("baobab_links_dropped_total")

// Bounds on how long a silent link or an unreachable peer goes unnoticed. The
// keepalive timeout is also the TCP user timeout, which bounds how long bytes
// stay unacknowledged; flow control bounds how many do.
var (
	connectParams = grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second},
		MinConnectTimeout: 2 * time.Second,
	}
	keepaliveParams = keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}
)

// linkLinger is how long the connection to a VM that left the list stays open,
// so that calls over it can end.
const linkLinger = time.Minute

// Links holds one gRPC connection to each peer. It is safe for concurrent use.
type Links struct {
	credentials credentials.TransportCredentials

	mu    sync.Mutex
	links map[string]*link
}

type link struct {
	conn *grpc.ClientConn
	// unlistedSince is when the peer was first missing from the list; 0 while it
	// is listed.
	unlistedSince time.Duration
}

// NewLinks returns links without connections.
func NewLinks() *Links {
	return &Links{links: make(map[string]*link), credentials: insecure.NewCredentials()}
}

// Secure makes links use mutual TLS. It must be called before the first link.
func (l *Links) Secure(i *Identity) { l.credentials = i.Credentials() }

// Client returns a client of the peer at the address; its connection is opened
// on first use.
func (l *Links) Client(address string) (peerwire.PeersClient, error) {
	conn, err := l.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerwire.NewPeersClient(conn), nil
}

// Conn returns the connection to the peer at the address.
func (l *Links) Conn(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.links[address]; ok {
		return known.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(l.credentials),
		grpc.WithConnectParams(connectParams), grpc.WithKeepaliveParams(keepaliveParams),
		grpc.WithStatsHandler(byteCounter{}))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l.links[address] = &link{conn: conn}
	return conn, nil
}

// Drop closes a connection that went silent, so that the next request to the
// peer opens a new one, and reports whether it was still in use. Requests in
// flight on it end with an error.
func (l *Links) Drop(address string, conn *grpc.ClientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.links[address]; !ok || known.conn != conn || defect.On("silent-link") {
		return false
	}
	delete(l.links, address)
	_ = conn.Close()
	linksDropped.Inc()
	return true
}

// Close closes all connections.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, known := range l.links {
		_ = known.conn.Close()
		delete(l.links, address)
	}
}

// Keep closes the connections to VMs that have been missing from the list for
// linkLinger. Now is the monotonic time.
func (l *Links) Keep(vms []lists.VM, now time.Duration) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Address] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, known := range l.links {
		switch {
		case listed[address]:
			known.unlistedSince = 0
		case known.unlistedSince == 0:
			known.unlistedSince = now
		case now-known.unlistedSince >= linkLinger:
			_ = known.conn.Close()
			delete(l.links, address)
		}
	}
}
