package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/fault"
)

func newRoute(name, prefix string, parts ...WeightedService) Route {
	return Route{Name: name, Host: "a.example", Prefix: prefix, Attempts: 1, Timeout: time.Second, Split: parts}
}

var services = []Service{{Name: "x"}, {Name: "y"}}

// Prefixes overlap, and a Host header has a port and upper-case letters.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table, err := NewTable(1, []Route{
		newRoute("root", "/", WeightedService{"x", 1}),
		newRoute("deep", "/a/b/", WeightedService{"x", 1}),
		newRoute("short", "/a/", WeightedService{"x", 1}),
	}, services, Limits{})
	assert.NilError(t, err)
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/b": "short", "/a/": "short", "/a": "root", "/": "root"} {
		r, ok := table.Match("A.example:80", path)
		assert.Assert(t, ok)
		assert.Equal(t, r.Name, want, path)
	}
	_, ok := table.Match("b.example", "/a/")
	assert.Assert(t, !ok)
}

// An operator must see which route is invalid and how to correct it.
func TestNewTableNamesTheRouteAndTheRemedy(t *testing.T) {
	cases := map[string][]Route{
		"route r: has the prefix /a; begin and end it with a slash":                {newRoute("r", "/a", WeightedService{"x", 1})},
		"route r: names the unknown service z; declare the service":                {newRoute("r", "/a/", WeightedService{"z", 1})},
		"route r: has weights whose sum is 0; give one service a weight above 0":   {newRoute("r", "/a/", WeightedService{"x", 0})},
		"route r: has the host a.example and prefix of route q; change one prefix": {newRoute("q", "/a/", WeightedService{"x", 1}), newRoute("r", "/a/", WeightedService{"x", 1})},
	}
	for want, routes := range cases {
		_, err := NewTable(1, routes, services, Limits{})
		assert.Error(t, err, want)
		assert.Assert(t, fault.IsKind(err, fault.List))
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := newRoute("r", "/", WeightedService{"x", 9}, WeightedService{"y", 1})
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	assert.Equal(t, counts["x"], 900)
	assert.Equal(t, counts["y"], 100)
}
