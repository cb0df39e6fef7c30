package servers

import (
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/memory"
)

// Registry keeps a Server for each line of the platform's list. It is used by
// the control goroutine only.
type Registry struct {
	answers *answerLimits
	clock   clock.Clock
	servers map[string]*Server
}

// NewRegistry returns a registry of servers whose answers have bodies of at most
// maxBodyBytes.
func NewRegistry(maxBodyBytes int) *Registry {
	return &Registry{answers: newAnswerLimits(maxBodyBytes), clock: clock.Boot{}, servers: make(map[string]*Server)}
}

// SetBodyBudget counts the bodies of answers against a budget while they are
// read. It must be called before Apply.
func (r *Registry) SetBodyBudget(b *memory.Budget) { r.answers.memory = b }

// Apply brings the registry in line with the lists and returns the servers by
// service. A server that keeps its id and address keeps its connections and
// counters.
func (r *Registry) Apply(list *lists.Servers, allowances *lists.Allowances) map[string][]*Server {
	byService := make(map[string][]*Server)
	next := make(map[string]*Server, len(list.Servers))
	for _, info := range list.Servers {
		s := r.keep(info, connectionLimit(allowances, info.Service))
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

func (r *Registry) keep(info lists.Server, limit int) *Server {
	old, known := r.servers[info.ID]
	if !known || old.Info.Address != info.Address || old.Info.Service != info.Service {
		return newServer(info, r.clock, newPool(r.answers, info.Address, limit))
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
	return &Server{Info: info, learned: old.learned}
}

// connectionLimit is this entry's part of a server's connections: hedges and
// probes take theirs from it too. The divisor is the number of entries of the
// allowances list and not of the entries seen, so that a partition or a lagging
// list can't raise the sum.
func connectionLimit(allowances *lists.Allowances, service string) int {
	if allowances == nil {
		return 0
	}
	if defect.On("connections-not-divided") {
		return allowances.Services[service].Connections
	}
	return max(allowances.Services[service].Connections/allowances.Entries, 1)
}
