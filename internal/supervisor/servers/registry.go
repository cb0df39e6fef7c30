package servers

import (
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/memory"
)

// Registry keeps a Server for each server in the platform's list. Only the control
// goroutine uses it.
type Registry struct {
	limits  *responseLimits
	clock   clock.Clock
	servers map[string]*Server
}

// NewRegistry returns a registry of servers whose answers have bodies of at most
// maxBodyBytes.
func NewRegistry(maxBodyBytes int) *Registry {
	return &Registry{limits: newResponseLimits(maxBodyBytes), clock: clock.Boot{}, servers: make(map[string]*Server)}
}

// SetBodyBudget sets the memory budget that response bodies are charged to while
// they are read. It must be called before Apply.
func (r *Registry) SetBodyBudget(b *memory.Budget) { r.limits.memory = b }

// Apply updates the registry to the lists and returns the servers by service. A
// server with an unchanged id, address and service keeps its connections and state.
func (r *Registry) Apply(list *lists.Servers, allowances *lists.Allowances) map[string][]*Server {
	byService := make(map[string][]*Server)
	next := make(map[string]*Server, len(list.Servers))
	for _, info := range list.Servers {
		s := r.serverFor(info, connectionLimit(allowances, info.Service))
		next[info.ID] = s
		byService[info.Service] = append(byService[info.Service], s)
	}
	for id, s := range r.servers {
		if kept, ok := next[id]; !ok || kept.pool != s.pool {
			s.Close()
		}
	}
	r.servers = next
	return byService
}

// serverFor returns the server for a record of the list. It keeps the state of the
// known server with the same id if the address and service are the same too.
func (r *Registry) serverFor(info lists.Server, limit int) *Server {
	old, known := r.servers[info.ID]
	if !known || old.Info.Address != info.Address || old.Info.Service != info.Service {
		return newServer(info, r.clock, newPool(r.limits, info.Address, limit))
	}
	old.pool.setLimit(limit)
	if old.Info == info {
		return old
	}
	if old.Info.State == lists.Leaving && info.State == lists.Live {
		old.setLeaving(false)
	}
	if old.Info.State == lists.Live && info.State == lists.Leaving {
		old.pool.dropIdle()
	}
	return &Server{Info: info, serverState: old.serverState}
}

// connectionLimit returns this entry's share of a server's connection limit, which
// includes hedges and probes. The divisor is the number of entries in the allowances
// list, not that of the entries seen, so that a partition or an outdated list can't
// raise the sum of all shares.
func connectionLimit(allowances *lists.Allowances, service string) int {
	if allowances == nil {
		return 0
	}
	if defect.On("connections-not-divided") {
		return allowances.Services[service].Connections
	}
	return max(allowances.Services[service].Connections/allowances.Entries, 1)
}
