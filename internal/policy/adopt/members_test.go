package adopt

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// parseServers parses ids separated by spaces. The first letter of an id is the
// service, and the suffix ":leaving" marks a server as leaving.
func parseServers(words string) *lists.Servers {
	list := &lists.Servers{}
	for _, word := range strings.Fields(words) {
		id, state, hasState := strings.Cut(word, ":")
		if !hasState {
			state = string(lists.Live)
		}
		list.Servers = append(list.Servers, lists.Server{ID: id, Service: id[:1], Address: "at-" + id, State: lists.State(state)})
	}
	return list
}

func TestLargeServerLossIsRetainedForOneVersion(t *testing.T) {
	for _, c := range []struct{ previous, next, retained string }{
		{"s1 s2 s3 s4", "s1 s2", ""},                  // half
		{"s1 s2 s3 s4", "s1", "s2 s3 s4"},             // more than half
		{"s1 s2 s3 t1", "s1 s2 s3", "t1"},             // all of one service
		{"s1 s2:leaving s3:leaving", "s1", ""},        // already leaving in previous
		{"s1 s2 s3:leaving", "", "s1 s2"},             // the leaving one is not retained
		{"s1 s2 s3", "s1:leaving s2:leaving s3", ""},  // marked as leaving, none missing
		{"s1 s2 s3", "s1:leaving", "s2 s3"},           // s1 is marked as leaving, the others are missing
		{"s1 s2 s3 s4", "s5 s6 s7 s8", "s1 s2 s3 s4"}, // replaced by others
	} {
		effective, retained := RetainMissingServers(parseServers(c.previous), parseServers(c.next))
		assert.Equal(t, strings.Join(retained, " "), c.retained, "%s -> %s", c.previous, c.next)
		assert.Equal(t, len(effective.Servers), len(strings.Fields(c.next))+len(retained))
	}
	// A second version that lacks the same servers confirms the loss.
	second := parseServers("s1")
	_, retained := RetainMissingServers(parseServers("s1"), second)
	assert.Equal(t, len(retained), 0)
}

// A server whose address another server took over is gone, so it is not retained.
func TestServerWithReusedAddressIsNotRetained(t *testing.T) {
	next := parseServers("s9")
	next.Servers[0].Address = "at-s1"
	_, retained := RetainMissingServers(parseServers("s1 s2 s3"), next)
	assert.DeepEqual(t, retained, []string{"s2", "s3"})
}

func TestLargeVMLossIsRetainedForOneVersion(t *testing.T) {
	vms := func(ids ...string) *lists.VMs {
		list := &lists.VMs{}
		for _, id := range ids {
			list.VMs = append(list.VMs, lists.VM{ID: id, Address: "at-" + id, State: lists.Live})
		}
		return list
	}
	effective, retained := RetainMissingVMs(vms("a", "b", "c"), vms("a"))
	assert.DeepEqual(t, retained, []string{"b", "c"})
	assert.Equal(t, len(effective.VMs), 3)
	assert.Assert(t, slices.ContainsFunc(effective.VMs, func(v lists.VM) bool { return v.ID == "b" }))
}
