package adopt

import (
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
)

// RetainMissingServers returns the list to use after the platform published next,
// and the ids of servers that it retains although next lacks them. If next lacks
// more than half of the live servers of a service, the list may be damaged: the
// missing servers are retained for this one version. Previous is the list as
// published, without retained servers, so a second version that lacks them
// confirms the loss. A server that next marks as leaving is not missing.
func RetainMissingServers(previous, next *lists.Servers) (effective *lists.Servers, retained []string) {
	if previous == nil {
		return next, nil
	}
	missing := missingAfterLargeLoss(previous.Servers, next.Servers, func(s lists.Server) member {
		return member{group: s.Service, id: s.ID, address: s.Address, live: s.State == lists.Live}
	})
	if len(missing) == 0 {
		return next, nil
	}
	all := append([]lists.Server(nil), next.Servers...)
	for _, s := range missing {
		all = append(all, s)
		retained = append(retained, s.ID)
	}
	return &lists.Servers{Servers: all}, retained
}

// RetainMissingVMs does for the list of entry VMs what RetainMissingServers does
// for servers; all VMs are one group.
func RetainMissingVMs(previous, next *lists.VMs) (effective *lists.VMs, retained []string) {
	if previous == nil {
		return next, nil
	}
	missing := missingAfterLargeLoss(previous.VMs, next.VMs, func(v lists.VM) member {
		return member{id: v.ID, address: v.Address, live: v.State == lists.Live}
	})
	if len(missing) == 0 {
		return next, nil
	}
	all := append([]lists.VM(nil), next.VMs...)
	for _, v := range missing {
		all = append(all, v)
		retained = append(retained, v.ID)
	}
	return &lists.VMs{VMs: all}, retained
}

// member is the part of a server or entry VM that missingAfterLargeLoss compares.
type member struct {
	group, id, address string
	live               bool
}

// missingAfterLargeLoss returns the live members of previous that next lacks, of
// groups that lost more than half of their live members. Members whose id is in
// another group of next, or whose address another member of next has, were
// moved or replaced and are left out.
func missingAfterLargeLoss[T any](previous, next []T, toMember func(T) member) []T {
	if defect.On("config-shrink-guard") {
		return nil
	}
	nextGroups, nextAddresses := make(map[string]string, len(next)), make(map[string]bool, len(next))
	for _, item := range next {
		m := toMember(item)
		nextGroups[m.id] = m.group
		nextAddresses[m.address] = true
	}
	live, lost := make(map[string]int), make(map[string]int)
	for _, item := range previous {
		m := toMember(item)
		if !m.live {
			continue
		}
		live[m.group]++
		if group, listed := nextGroups[m.id]; !listed || group != m.group {
			lost[m.group]++
		}
	}
	var missing []T
	for _, item := range previous {
		m := toMember(item)
		_, listed := nextGroups[m.id]
		if m.live && 2*lost[m.group] > live[m.group] && !listed && !nextAddresses[m.address] {
			missing = append(missing, item)
		}
	}
	return missing
}
