package standin

import (
	"cmp"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// GatewaySettings are the settings of a gateway under test. All gateways use the
// same ports, each on an address of its own.
type GatewaySettings struct {
	ID, Zone string
	// Host is the gateway's loopback address.
	Host string
	// Seeds are the hosts of other gateways.
	Seeds []string
	// Store is the address of the store.
	Store string
	// RetrySlack and ProbesPerSecond are the fleet's budgets.
	RetrySlack, ProbesPerSecond int
	// ColdOverage and ColdSlack bound the requests at a cold server; 0 for no bound.
	ColdOverage float64
	ColdSlack   int
	// RetryWindow is the window of the retry budget; the default is 10 s.
	RetryWindow time.Duration
	// MaxFDs is the number of descriptors of the gateway's VM; the default is no bound.
	MaxFDs int
	// MemoryMB is the memory of the gateway's VM; the default is 200.
	MemoryMB int
}

// The ports of a gateway under test.
const (
	GatewayCallersPort = 7001
	GatewayReadyPort   = 7002
	gatewayFleetPort   = 7003
)

const (
	defaultMemoryMB    = 200
	defaultRetryWindow = 10 * time.Second
)

// GatewayHost returns a loopback address for the gateway with an index below 512,
// apart from those of most other test processes on the machine.
func GatewayHost(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+i%128, 64*(i/128)+pid>>8&0x3f, pid&0xff)
}

const gatewaySettings = `
[entry]
id = %[1]q
data_centre = %[2]q
[listen]
callers = "%[3]s:7001"
ready = "%[3]s:7002"
ready_path = "/ready"
fleet = "%[3]s:7003"
gossip = "%[3]s:7004"
metrics = "%[3]s:7005"
metrics_path = "/metrics"
[fleet]
seeds = [%[4]s]
[store]
address = %[5]q
[vm]
memory_mb = %[8]d
link_mbps = 100
max_fds = %[10]d
[budgets]
retry_ratio = 0.2
retry_slack = %[6]d
retry_window = %[9]q
probes_per_second = %[7]d
cold_overage = %[11]g
cold_slack = %[12]d
[stop]
grace = "6s"
`

// Memory returns the memory of the gateway's VM in MB.
func (s GatewaySettings) Memory() int { return cmp.Or(s.MemoryMB, defaultMemoryMB) }

// Write writes the settings file.
func (s GatewaySettings) Write(file string) error {
	var seeds []string
	for _, host := range s.Seeds {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", host, gatewayFleetPort))
	}
	text := fmt.Sprintf(gatewaySettings, s.ID, s.Zone, s.Host, strings.Join(seeds, ", "), s.Store, s.RetrySlack, s.ProbesPerSecond, s.Memory(), cmp.Or(s.RetryWindow, defaultRetryWindow).String(), s.MaxFDs, s.ColdOverage, s.ColdSlack)
	return errors.Wrap(os.WriteFile(file, []byte(text), 0o600), "write a gateway's settings")
}
