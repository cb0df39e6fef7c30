package fleet

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
)

// Any bytes can arrive at the gossip port, and any values in a message. None of them may end
// the process or make the fleet look empty or endless.
func FuzzGossip(f *testing.F) {
	valid, err := proto.Marshal(newTestMembers(testMember("a", "x", 1), testMember("b", "x", 1)).BuildGossip("x", now))
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte("\x12\x00\x32\x04junk"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var g fleetwire.Gossip
		if proto.Unmarshal(data, &g) != nil {
			return
		}
		m := newTestMembers(testMember("a", "x", 1), testMember("b", "x", 1))
		m.MergeGossip(&g, now)
		m.Lookup(g.GetWanted())
		m.Roles(now)
		m.BuildGossip("y", now)
		if n := m.LiveCount(now); n < 1 || n > 2+len(g.GetMembers())*(1+maxFollowers) {
			t.Fatalf("%d gateways", n)
		}
	})
}

// A member that claims to lead a fleet of billions would leave the others no budget.
func TestAbsurdEntryOfAMemberIsIgnored(t *testing.T) {
	m := newTestMembers(testMember("a", "x", 1), testMember("b", "x", 1))
	liar := testMember("c", "y", 9)
	liar.Followers = 4_000_000_000
	m.Merge([]*fleetwire.Member{liar}, now)
	assert.Equal(t, m.LiveCount(now), 2)
}
