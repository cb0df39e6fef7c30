package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const goodGateway = `
[entry]
id = "g-1"
data_centre = "dc"
[listen]
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
ready_path = "/ready"
fleet = "10.0.0.1:82"
gossip = "10.0.0.1:83"
metrics = "10.0.0.1:84"
metrics_path = "/metrics"
[fleet]
seeds = ["10.0.0.1:82"]
[store]
address = "10.0.0.9:80"
[vm]
memory_mb = 100
link_mbps = 10
[budgets]
retry_ratio = 0.2
retry_slack = 10
retry_window = "10s"
probes_per_second = 60
[stop]
grace = "6s"
`

func TestGatewaySettings(t *testing.T) {
	s, faults := ParseGateway("f", []byte(goodGateway))
	assert.Equal(t, len(faults), 0)
	assert.Equal(t, s.Budgets.RetryRatio, 0.2)
	assert.Equal(t, s.Log.Level, "info")
	for _, c := range []struct{ from, to, want string }{
		{`id = "g-1"`, `id = ""`, `f:3: entry.id: is missing; give the VM's id`},
		{`fleet = "10.0.0.1:82"`, `fleet = "host:82"`, `f:9: listen.fleet: "host:82" is not an IP address and port; write it like 10.0.0.1:8080`},
		{`link_mbps = 10`, `link_mbps = 0`, `f:19: vm.link_mbps: is 0; give a number above 0 and up to 1000000`},
		{`grace = "6s"`, `grace = "0s"`, `f:26: stop.grace: is 0s; give a duration above 0s, like 10s`},
		{`grace = "6s"`, `grace = "soon"`, `f:26`},
		{`retry_slack = 10`, `retry_slack = -1`, `budgets: has a negative number; use 0 or more`},
		{`[stop]`, "[log]\nlevel = \"loud\"\n[stop]", `log.level: is "loud"; use debug, info, warn or error`},
		{`[store]`, "colour = 1\n[store]", `f:15: fleet.colour: is an unknown key`},
	} {
		_, faults := ParseGateway("f", []byte(strings.Replace(goodGateway, c.from, c.to, 1)))
		assert.Assert(t, len(faults) > 0, c.to)
		assert.ErrorContains(t, faults[0], c.want)
	}
}
