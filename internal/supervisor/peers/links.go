package peers

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
)

// linkLinger is how long the connection to a VM that left the list stays open,
// so that calls over it can end.
const linkLinger = time.Minute

// Links holds one gRPC connection to each peer. It is safe for concurrent use.
type Links struct {
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
func NewLinks() *Links { return &Links{links: make(map[string]*link)} }

// Client returns a client of the peer at the address; its connection is opened
// on first use.
func (l *Links) Client(address string) (peerwire.PeersClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.links[address]; ok {
		return peerwire.NewPeersClient(known.conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(byteCounter{}))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l.links[address] = &link{conn: conn}
	return peerwire.NewPeersClient(conn), nil
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
