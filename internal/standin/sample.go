package standin

import (
	"encoding/json"
	"fmt"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// SampleKey is the key of the customer in SamplePlans.
const SampleKey = "agent-key"

// SamplePlans is a plans list with one customer.
func SamplePlans() []byte {
	return fmt.Appendf(nil, `[customers.shipping-agents]
plan = "agent"
key_hash = %q

[end]
customers = 1
`, lists.HashKey(SampleKey))
}

// SampleAllowances is an allowances list with a stock service of lookups and a
// moves service of bookings.
func SampleAllowances() []byte {
	return []byte(`entries = 17

[services.stock]
slots = 6
connections = 260
probes_per_second = 0.5
operations.lookup = { method = "GET", idempotent = true }

[services.moves]
slots = 6
connections = 260
probes_per_second = 0.5
operations.book = { method = "POST" }

[plans.agent.stock]
rate = 170000
burst = 17000
concurrency = 17000
deadline = "2s"

[plans.agent.moves]
rate = 170000
burst = 17000
concurrency = 17000
deadline = "5s"

[end]
services = 2
plans = 1
`)
}

// SampleServers is a servers list.
func SampleServers(servers []lists.Server) []byte { return mustJSON(lists.Servers{Servers: servers}) }

// SampleVMs is a list of entry VMs.
func SampleVMs(vms []lists.VM) []byte { return mustJSON(lists.VMs{VMs: vms}) }

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
