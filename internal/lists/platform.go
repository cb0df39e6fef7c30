package lists

import (
	"fmt"
	"net/netip"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// State is what the platform says of a server or VM.
type State string

// States of the platform's lists.
const (
	// Live servers and VMs take new work.
	Live State = "live"
	// Leaving servers and VMs finish the work they have.
	Leaving State = "leaving"
)

// Server is one backend server.
type Server struct {
	// ID identifies the server.
	ID string `json:"id"`
	// Service names the service that the server runs.
	Service string `json:"service"`
	// Address is the server's IP address and port.
	Address string `json:"address"`
	// DataCentre names the server's data centre.
	DataCentre string `json:"data_centre"`
	// State is live or leaving.
	State State `json:"state"`
}

// VM is one entry VM.
type VM struct {
	// ID identifies the VM.
	ID string `json:"id"`
	// Address is the IP address and port for other entries.
	Address string `json:"address"`
	// DataCentre names the VM's data centre.
	DataCentre string `json:"data_centre"`
	// State is live or leaving.
	State State `json:"state"`
}

// Servers is the checked servers list.
type Servers struct {
	// Servers holds all servers in the list's order.
	Servers []Server `json:"servers"`
}

// VMs is the checked list of entry VMs.
type VMs struct {
	// VMs holds all entry VMs in the list's order.
	VMs []VM `json:"vms"`
}

// ParseServers decodes and checks a servers list.
func ParseServers(file string, data []byte) (*Servers, []error) {
	var list Servers
	p := NewPlace(fault.List, file, data)
	if err := decodeJSON(p, data, &list); err != nil {
		return nil, []error{err}
	}
	if len(list.Servers) == 0 {
		return nil, []error{p.Fault("servers", "the list names no server", "publish the list again; an empty list is never applied")}
	}
	var faults []error
	seen := make(map[string]bool, len(list.Servers))
	for i, s := range list.Servers {
		key := fmt.Sprintf("servers[%d]", i)
		if s.Service == "" {
			faults = append(faults, p.Fault(key+".service", "is missing", "name the server's service"))
		}
		faults = append(faults, checkMember(p, key, s.ID, s.Address, s.State, seen)...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &list, nil
}

// ParseVMs decodes and checks a list of entry VMs.
func ParseVMs(file string, data []byte) (*VMs, []error) {
	var list VMs
	p := NewPlace(fault.List, file, data)
	if err := decodeJSON(p, data, &list); err != nil {
		return nil, []error{err}
	}
	if len(list.VMs) == 0 {
		return nil, []error{p.Fault("vms", "the list names no VM", "publish the list again; an empty list is never applied")}
	}
	var faults []error
	seen := make(map[string]bool, len(list.VMs))
	for i, vm := range list.VMs {
		faults = append(faults, checkMember(p, fmt.Sprintf("vms[%d]", i), vm.ID, vm.Address, vm.State, seen)...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &list, nil
}

func checkMember(p Place, key, id, address string, state State, seen map[string]bool) []error {
	var faults []error
	if id == "" {
		faults = append(faults, p.Fault(key+".id", "is missing", "give every member an id"))
	}
	if seen[id] {
		faults = append(faults, p.Fault(key+".id", fmt.Sprintf("%q stands twice", id), "give every member an id of its own"))
	}
	seen[id] = true
	if _, err := netip.ParseAddrPort(address); err != nil {
		faults = append(faults, p.Fault(key+".address", fmt.Sprintf("%q is not an IP address and port", address), "write it like 10.0.0.1:8080"))
	}
	if state != Live && state != Leaving {
		faults = append(faults, p.Fault(key+".state", fmt.Sprintf("is %q", state), "use live or leaving"))
	}
	return faults
}
