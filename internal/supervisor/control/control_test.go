package control

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/view"
)

const self = "127.0.0.1:1"

// newControl returns a control whose events the test applies itself.
func newControl() *Control {
	return New(self, &view.Holder{}, servers.NewRegistry(1<<20), journal.New(64))
}

func plansText(plan string) string {
	return fmt.Sprintf("[customers.a]\nplan = %q\nkey_hash = %q\n[end]\ncustomers = 1\n", plan, lists.HashKey("a"))
}

func allowancesText(plan string) string {
	return fmt.Sprintf(`entries = 2
[services.stock]
slots = 1
connections = 2
operations.lookup = { method = "GET" }
[plans.%s.stock]
rate = 1
burst = 2
concurrency = 2
deadline = "1s"
[end]
services = 1
plans = 1
allow_shrink = true
`, plan)
}

func serversText(ids ...string) string {
	var lines []string
	for i, id := range ids {
		lines = append(lines, fmt.Sprintf(`{"id":%q,"service":"stock","address":"127.0.0.1:%d","data_centre":"modjo","state":"live"}`, id, 100+i))
	}
	return `{"servers":[` + strings.Join(lines, ",") + `]}`
}

func vmsText() string {
	return fmt.Sprintf(`{"vms":[{"id":"vm-1","address":%q,"data_centre":"modjo","state":"live"}]}`, self)
}

func arrive(c *Control, name lists.Name, version uint64, body string, peer bool) *view.Snapshot {
	ListArrived{Name: name, Version: version, Body: []byte(body), Source: "test", Peer: peer}.apply(c)
	return c.holder.Load()
}

func arriveAll(c *Control, version uint64, peer bool) *view.Snapshot {
	arrive(c, lists.VMsName, version, vmsText(), peer)
	arrive(c, lists.PlansName, version, plansText("agent"), peer)
	arrive(c, lists.AllowancesName, version, allowancesText("agent"), peer)
	return arrive(c, lists.ServersName, version, serversText("s1", "s2", "s3"), peer)
}

func TestNewEntryTakesNewerListsOfPeersFirst(t *testing.T) {
	c := newControl()
	s := arriveAll(c, 1, false)
	assert.Assert(t, !s.Ready)
	assert.Equal(t, s.Lists[lists.VMsName].Version, uint64(1))
	assert.Equal(t, s.Lists[lists.PlansName].Version, uint64(0), "held until the peers were asked")
	arriveAll(c, 7, true)
	PeersAsked{Answered: 1}.apply(c)
	s = c.holder.Load()
	assert.Assert(t, s.Ready)
	for _, name := range lists.Names() {
		assert.Equal(t, s.Lists[name].Version, uint64(7), name)
	}
}

func TestNewEntryWithoutPeersTakesTheServicesLists(t *testing.T) {
	c := newControl()
	arriveAll(c, 3, false)
	PeersAsked{}.apply(c)
	s := c.holder.Load()
	assert.Assert(t, s.Ready)
	assert.Equal(t, s.Lists[lists.PlansName].Version, uint64(3))
}

func readyControl() *Control {
	c := newControl()
	PeersAsked{}.apply(c)
	arriveAll(c, 2, false)
	return c
}

func TestOldVersionsAreIgnored(t *testing.T) {
	c := readyControl()
	for _, name := range lists.Names() {
		body := string(c.holder.Load().Lists[name].Body)
		s := arrive(c, name, 1, "not a list", false)
		assert.Equal(t, string(s.Lists[name].Body), body)
		assert.Equal(t, s.Lists[name].Version, uint64(2))
	}
}

func TestBadListBetweenTwoGoodOnes(t *testing.T) {
	c := readyControl()
	s := arrive(c, lists.PlansName, 3, "[customers.a]\n", false)
	assert.Equal(t, s.Lists[lists.PlansName].Version, uint64(2))
	assert.Equal(t, s.Refused[lists.PlansName].Version, uint64(3))
	assert.Assert(t, strings.Contains(s.Refused[lists.PlansName].Reason, "the [end] table is missing"))
	assert.Equal(t, decisions(c, "list-refused"), 1)
	s = arrive(c, lists.PlansName, 4, plansText("agent"), false)
	assert.Equal(t, s.Lists[lists.PlansName].Version, uint64(4))
	assert.Equal(t, len(s.Refused), 0)
}

func TestListWaitsForItsPartner(t *testing.T) {
	c := readyControl()
	s := arrive(c, lists.PlansName, 3, plansText("planner"), false)
	assert.Equal(t, s.Lists[lists.PlansName].Version, uint64(2))
	assert.Equal(t, s.Refused[lists.PlansName].Version, uint64(3))
	s = arrive(c, lists.AllowancesName, 3, allowancesText("planner"), false)
	assert.Equal(t, s.Lists[lists.PlansName].Version, uint64(3))
	assert.Equal(t, s.Lists[lists.AllowancesName].Version, uint64(3))
	assert.Equal(t, len(s.Refused), 0)
	assert.Equal(t, decisions(c, "list-waiting"), 1)
	assert.Equal(t, decisions(c, "list-refused"), 0)
}

func TestSuspectShrinkNeedsASecondVersion(t *testing.T) {
	c := readyControl()
	s := arrive(c, lists.ServersName, 3, serversText("s1"), false)
	assert.Equal(t, len(s.Services["stock"]), 3)
	assert.DeepEqual(t, s.Suspect[lists.ServersName], []string{"s2", "s3"})
	assert.Equal(t, decisions(c, "suspect-shrink"), 1)
	s = arrive(c, lists.ServersName, 4, serversText("s1"), false)
	assert.Equal(t, len(s.Services["stock"]), 1)
	assert.Equal(t, len(s.Suspect), 0)
}

func TestStaleSourceIsShown(t *testing.T) {
	c := readyControl()
	SourceSeen{Name: lists.PlansName, Version: 1}.apply(c)
	assert.Equal(t, c.holder.Load().StaleSource[lists.PlansName], uint64(1))
	assert.Equal(t, decisions(c, "stale-source"), 1)
	SourceSeen{Name: lists.PlansName, Version: 2}.apply(c)
	assert.Equal(t, len(c.holder.Load().StaleSource), 0)
}

func decisions(c *Control, decision string) int {
	n := 0
	for _, e := range c.journal.Entries() {
		if e.Decision == decision {
			n++
		}
	}
	return n
}
