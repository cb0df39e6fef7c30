package servers

import (
	"github.com/baobabstack/baobabstack/internal/lists"
)

// Registry keeps a Server for each line of the platform's list. It is used by
// the control goroutine only.
type Registry struct {
	maxBody int
	servers map[string]*Server
}

// NewRegistry returns a registry of servers whose answers have bodies of at most
// maxBodyBytes.
func NewRegistry(maxBodyBytes int) *Registry {
	return &Registry{maxBody: maxBodyBytes, servers: make(map[string]*Server)}
}

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
		return newServer(info, newPool(r.maxBody, info.Address, limit))
	}
	old.pool.setLimit(limit)
	if old.Info == info {
		return old
	}
	s := newServer(info, old.pool)
	s.success.Store(old.success.Load())
	s.others.Store(old.others.Load())
	return s
}

// connectionLimit is this entry's part of a server's connections.
func connectionLimit(allowances *lists.Allowances, service string) int {
	if allowances == nil {
		return 0
	}
	return max(allowances.Services[service].Connections/allowances.Entries, 1)
}
