package control

import (
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/adopt"
	"github.com/baobabstack/baobabstack/internal/view"
)

// platform holds the platform's lists as published, and what counts of them.
type platform struct {
	texts   map[lists.Name]view.List
	suspect map[lists.Name][]string

	publishedServers, servers *lists.Servers
	publishedVMs, vms         *lists.VMs
}

func newPlatform() platform {
	return platform{texts: make(map[lists.Name]view.List), suspect: make(map[lists.Name][]string)}
}

func (p *platform) setServers(list *lists.Servers) {
	if p.servers != nil && defect.On("config-servers-ignored") {
		return
	}
	p.servers, p.suspect[lists.ServersName] = adopt.RetainMissingServers(p.publishedServers, list)
	p.publishedServers = list
}

func (p *platform) setVMs(list *lists.VMs) {
	p.vms, p.suspect[lists.VMsName] = adopt.RetainMissingVMs(p.publishedVMs, list)
	p.publishedVMs = list
}
