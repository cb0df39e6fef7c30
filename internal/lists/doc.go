// Package lists parses and checks the four lists that drive an entry: the
// operators' plans and allowances (TOML) and the platform's servers and VMs
// (JSON). A list that fails a check is refused with the place and the remedy.
package lists

// Name identifies a list.
type Name string

// Names of the lists.
const (
	PlansName      Name = "plans"
	AllowancesName Name = "allowances"
	ServersName    Name = "servers"
	VMsName        Name = "vms"
)

// MaxBytes is the largest list that is accepted, in bytes.
const MaxBytes = 1 << 20

// Names lists all list names in a fixed order.
func Names() []Name {
	return []Name{PlansName, AllowancesName, ServersName, VMsName}
}
