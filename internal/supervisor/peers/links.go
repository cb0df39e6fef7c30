package peers

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
)

// Links holds one gRPC connection to each peer. It is safe for concurrent use.
type Links struct {
	mu    sync.Mutex
	links map[string]*grpc.ClientConn
}

// NewLinks returns links without connections.
func NewLinks() *Links { return &Links{links: make(map[string]*grpc.ClientConn)} }

// Client returns a client of the peer at the address; its connection is opened
// on first use.
func (l *Links) Client(address string) (peerwire.PeersClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link, ok := l.links[address]; ok {
		return peerwire.NewPeersClient(link), nil
	}
	link, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l.links[address] = link
	return peerwire.NewPeersClient(link), nil
}

// Keep closes the connections to all but the given VMs.
func (l *Links) Keep(vms []lists.VM) {
	wanted := make(map[string]bool, len(vms))
	for _, vm := range vms {
		wanted[vm.Address] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, link := range l.links {
		if wanted[address] {
			continue
		}
		_ = link.Close()
		delete(l.links, address)
	}
}
