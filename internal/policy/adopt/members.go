package adopt

import (
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
)

// RetainMissingServers returns the servers that count after next followed previous, both as
// the platform published them, and the ids of servers that are kept although
// next lacks them. If next lacks more than half of the live servers of a
// service, the list may be damaged: those servers are kept for this one version.
// A second version that lacks them confirms the loss. A server marked leaving
// counts as leaving at once.
func RetainMissingServers(previous, next *lists.Servers) (counting *lists.Servers, kept []string) {
	if previous == nil {
		return next, nil
	}
	missing := absent(previous.Servers, next.Servers, func(s lists.Server) member {
		return member{group: s.Service, id: s.ID, address: s.Address, live: s.State == lists.Live}
	})
	if len(missing) == 0 {
		return next, nil
	}
	all := append([]lists.Server(nil), next.Servers...)
	for _, s := range missing {
		all = append(all, s)
		kept = append(kept, s.ID)
	}
	return &lists.Servers{Servers: all}, kept
}

// RetainMissingVMs does for the list of entry VMs what RetainMissingServers does
// for servers; all VMs are one group.
func RetainMissingVMs(previous, next *lists.VMs) (counting *lists.VMs, kept []string) {
	if previous == nil {
		return next, nil
	}
	missing := absent(previous.VMs, next.VMs, func(v lists.VM) member {
		return member{id: v.ID, address: v.Address, live: v.State == lists.Live}
	})
	if len(missing) == 0 {
		return next, nil
	}
	all := append([]lists.VM(nil), next.VMs...)
	for _, v := range missing {
		all = append(all, v)
		kept = append(kept, v.ID)
	}
	return &lists.VMs{VMs: all}, kept
}

type member struct {
	group, id, address string
	live               bool
}

// absent returns the live members of previous that next lacks, of groups that
// lost more than half of their live members. Those whose id or address belongs
// to a member of another group or id in next are gone for sure and left out.
func absent[T any](previous, next []T, describe func(T) member) []T {
	if defect.On("config-shrink-guard") {
		return nil
	}
	groups, addresses := make(map[string]string, len(next)), make(map[string]bool, len(next))
	for _, item := range next {
		m := describe(item)
		groups[m.id] = m.group
		addresses[m.address] = true
	}
	live, gone := make(map[string]int), make(map[string]int)
	for _, item := range previous {
		m := describe(item)
		if !m.live {
			continue
		}
		live[m.group]++
		if group, listed := groups[m.id]; !listed || group != m.group {
			gone[m.group]++
		}
	}
	var missing []T
	for _, item := range previous {
		m := describe(item)
		_, listed := groups[m.id]
		if m.live && 2*gone[m.group] > live[m.group] && !listed && !addresses[m.address] {
			missing = append(missing, item)
		}
	}
	return missing
}
