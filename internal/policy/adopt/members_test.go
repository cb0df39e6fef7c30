package adopt

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// serversOf reads "id" or "id:leaving" words; ids start with the service.
func serversOf(words string) *lists.Servers {
	list := &lists.Servers{}
	for _, word := range strings.Fields(words) {
		id, state, marked := strings.Cut(word, ":")
		if !marked {
			state = string(lists.Live)
		}
		list.Servers = append(list.Servers, lists.Server{ID: id, Service: id[:1], Address: "at-" + id, State: lists.State(state)})
	}
	return list
}

func TestServersLostByMoreThanHalfCountOnce(t *testing.T) {
	for _, c := range []struct{ previous, next, kept string }{
		{"s1 s2 s3 s4", "s1 s2", ""},                  // half
		{"s1 s2 s3 s4", "s1", "s2 s3 s4"},             // more than half
		{"s1 s2 s3 t1", "s1 s2 s3", "t1"},             // all of one service
		{"s1 s2:leaving s3:leaving", "s1", ""},        // marked before
		{"s1 s2 s3:leaving", "", "s1 s2"},             // the marked one goes
		{"s1 s2 s3", "s1:leaving s2:leaving s3", ""},  // marked, none missing
		{"s1 s2 s3", "s1:leaving", "s2 s3"},           // marked counts at once
		{"s1 s2 s3 s4", "s5 s6 s7 s8", "s1 s2 s3 s4"}, // replaced by others
	} {
		counting, kept := RetainMissingServers(serversOf(c.previous), serversOf(c.next))
		assert.Equal(t, strings.Join(kept, " "), c.kept, "%s -> %s", c.previous, c.next)
		assert.Equal(t, len(counting.Servers), len(strings.Fields(c.next))+len(kept))
	}
	// A second version that says the same confirms the loss.
	second := serversOf("s1")
	_, kept := RetainMissingServers(serversOf("s1"), second)
	assert.Equal(t, len(kept), 0)
}

func TestReplacedAddressIsNotKept(t *testing.T) {
	next := serversOf("s9")
	next.Servers[0].Address = "at-s1"
	_, kept := RetainMissingServers(serversOf("s1 s2 s3"), next)
	assert.DeepEqual(t, kept, []string{"s2", "s3"})
}

func TestVMsLostByMoreThanHalfCountOnce(t *testing.T) {
	vms := func(ids ...string) *lists.VMs {
		list := &lists.VMs{}
		for _, id := range ids {
			list.VMs = append(list.VMs, lists.VM{ID: id, Address: "at-" + id, State: lists.Live})
		}
		return list
	}
	counting, kept := RetainMissingVMs(vms("a", "b", "c"), vms("a"))
	assert.DeepEqual(t, kept, []string{"b", "c"})
	assert.Equal(t, len(counting.VMs), 3)
	assert.Assert(t, slices.ContainsFunc(counting.VMs, func(v lists.VM) bool { return v.ID == "b" }))
}
