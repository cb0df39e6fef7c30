package settings

import "fmt"

// Gateway is the static configuration of a gateway.
type Gateway struct {
	// Entry identifies the entry VM.
	Entry Entry `toml:"entry"`
	// Listen holds the addresses to listen on.
	Listen Listen `toml:"listen"`
	// Fleet says how to find the other gateways.
	Fleet Fleet `toml:"fleet"`
	// Store says where the platform's store is.
	Store Store `toml:"store"`
	// VM describes the entry VM.
	VM VM `toml:"vm"`
	// Budgets bound what all gateways together may spend.
	Budgets Budgets `toml:"budgets"`
	// Placement configures the choice of servers.
	Placement Placement `toml:"placement"`
	// Stop configures the graceful stop.
	Stop GatewayStop `toml:"stop"`
	// Log configures the log.
	Log Log `toml:"log"`
}

// Listen holds addresses, each an IP address and port.
type Listen struct {
	// Callers is for callers.
	Callers string `toml:"callers"`
	// Ready answers readiness checks at ReadyPath.
	Ready     string `toml:"ready"`
	ReadyPath string `toml:"ready_path"`
	// Fleet is for other gateways, over TCP.
	Fleet string `toml:"fleet"`
	// Gossip is for other gateways, over UDP.
	Gossip string `toml:"gossip"`
	// Metrics serves metrics at MetricsPath.
	Metrics     string `toml:"metrics"`
	MetricsPath string `toml:"metrics_path"`
}

// Fleet says how to find the other gateways.
type Fleet struct {
	// Seeds are fleet addresses of some gateways. They may be stale.
	Seeds []string `toml:"seeds"`
}

// Store says where the platform's store is.
type Store struct {
	// Address is its IP address and port.
	Address string `toml:"address"`
}

// VM describes the entry VM.
type VM struct {
	// MemoryMB is the memory in MB that the process may use.
	MemoryMB int `toml:"memory_mb"`
	// LinkMbps is the bandwidth of its link in Mbit/s. VMs with faster links pass
	// on more.
	LinkMbps float64 `toml:"link_mbps"`
	// MaxFDs is the number of file descriptors that the process may use, of which callers'
	// connections get half; 0 stands for no bound.
	MaxFDs int `toml:"max_fds"`
	// MinBodyRate is the rate in bytes per second at which a request's body may take longer
	// than 10 s to arrive; 0 stands for 16 KiB per second.
	MinBodyRate int `toml:"min_body_rate"`
}

// Budgets bound what all gateways together may spend.
type Budgets struct {
	// RetryRatio is the number of extra sends that a call allows, per service.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetrySlack is the number of extra sends allowed in a window beside that.
	RetrySlack float64 `toml:"retry_slack"`
	// RetryWindow is the window in which both hold.
	RetryWindow Duration `toml:"retry_window"`
	// ProbesPerSecond bounds the health checks that one server gets.
	ProbesPerSecond float64 `toml:"probes_per_second"`
	// ColdOverage and ColdSlack bound the requests that a cold server gets in a second: the
	// rate that its service's configuration states, times ColdOverage, plus ColdSlack. Both
	// are 0 where there is no bound.
	ColdOverage float64 `toml:"cold_overage"`
	ColdSlack   float64 `toml:"cold_slack"`
}

// Placement configures the choice of servers.
type Placement struct {
	// RemoteKBCost is what a kilobyte between data centres costs, as a share of the value of an
	// answer in time; 0 stands for 0.02.
	RemoteKBCost float64 `toml:"remote_kb_cost"`
}

// GatewayStop configures a gateway's graceful stop.
type GatewayStop struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Duration `toml:"grace"`
}

// LoadGateway reads and checks a gateway's settings file. All faults found are
// returned; each names file, line, key and remedy.
func LoadGateway(file string) (*Gateway, []error) { return load(file, ParseGateway) }

// ParseGateway checks the text of a gateway's settings file. The file name is
// used in faults only.
func ParseGateway(file string, data []byte) (*Gateway, []error) {
	return parse(file, data, &Gateway{Log: Log{Level: "info"}}, (*checker).checkGateway)
}

func (c *checker) checkGateway(s *Gateway) {
	c.notEmpty("entry.id", s.Entry.ID, "give the VM's id")
	c.notEmpty("entry.data_centre", s.Entry.DataCentre, "name the VM's data centre")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.ready", s.Listen.Ready)
	c.address("listen.fleet", s.Listen.Fleet)
	c.address("listen.gossip", s.Listen.Gossip)
	c.address("listen.metrics", s.Listen.Metrics)
	c.address("store.address", s.Store.Address)
	for i, seed := range s.Fleet.Seeds {
		c.address(fmt.Sprintf("fleet.seeds[%d]", i), seed)
	}
	c.positive("vm.memory_mb", s.VM.MemoryMB)
	if s.VM.MaxFDs != 0 && s.VM.MaxFDs < minMaxFDs {
		c.add("vm.max_fds", fmt.Sprintf("is %d", s.VM.MaxFDs), fmt.Sprintf("give at least %d, or 0 for no bound", minMaxFDs))
	}
	if s.VM.MinBodyRate < 0 {
		c.add("vm.min_body_rate", fmt.Sprintf("is %d", s.VM.MinBodyRate), "give a number of bytes per second, or 0 for the default")
	}
	if s.VM.LinkMbps <= 0 || s.VM.LinkMbps > maxLinkMbps {
		c.add("vm.link_mbps", fmt.Sprintf("is %g", s.VM.LinkMbps), fmt.Sprintf("give a number above 0 and up to %d", maxLinkMbps))
	}
	if s.Placement.RemoteKBCost < 0 || s.Placement.RemoteKBCost > 1 {
		c.add("placement.remote_kb_cost", fmt.Sprintf("is %g", s.Placement.RemoteKBCost), "give a number from 0 to 1; 0 stands for 0.02")
	}
	c.duration("budgets.retry_window", s.Budgets.RetryWindow)
	c.duration("stop.grace", s.Stop.Grace)
	if s.Budgets.RetryRatio < 0 || s.Budgets.RetrySlack < 0 || s.Budgets.ProbesPerSecond < 0 || s.Budgets.ColdOverage < 0 || s.Budgets.ColdSlack < 0 {
		c.add("budgets", "has a negative number", "use 0 or more")
	}
	c.level(s.Log.Level)
}

// minMaxFDs is the least number of descriptors with which a gateway can serve.
const minMaxFDs = 128

// maxLinkMbps is the fastest link that settings may name, 1 Tbit/s.
const maxLinkMbps = 1_000_000

// level checks the log's level.
func (c *checker) level(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", fmt.Sprintf("is %q", level), "use debug, info, warn or error")
	}
}
