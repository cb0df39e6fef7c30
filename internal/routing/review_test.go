package routing

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testBounds = Bounds{HeadBytes: 32 << 10, BodyBytes: 64 << 20, RequestBytes: 32 << 20, RequestTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}

func goodRoute() Route {
	return Route{Name: "r", Host: "a.example", Prefix: "/a/", Idempotent: true, Attempts: 3, Timeout: time.Second, Objective: 200 * time.Millisecond, Split: []WeightedService{{"s", 1}}}
}

func goodLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

func reviewed(t *testing.T, routes []Route, services []Service, limits Limits) string {
	t.Helper()
	table, err := NewTable(2, routes, services, limits)
	assert.NilError(t, err)
	var lines []string
	for _, f := range table.Review(testBounds) {
		assert.Assert(t, f.Severity == Warning && f.Remedy != "", "%+v", f)
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Guards against warnings that operators learn to ignore, and against entries that have no
// effect or contradict each other and are passed over.
func TestReviewWarnsOfWhatHasNoEffect(t *testing.T) {
	services := []Service{{Name: "s", HealthPath: "/health", MaxConnections: 10}}
	assert.Equal(t, reviewed(t, []Route{goodRoute()}, services, goodLimits()), "")
	for want, change := range map[string]func(r *Route, l *Limits){
		"can never match: its host is":                func(r *Route, _ *Limits) { r.Host = "a.example:80" },
		"can never match: its prefix":                 func(r *Route, _ *Limits) { r.Prefix = "/a?x=/" },
		"names service s twice":                       func(r *Route, _ *Limits) { r.Split = append(r.Split, r.Split[0]) },
		"target latency of 2s above its timeout":      func(r *Route, _ *Limits) { r.Objective = 2 * time.Second },
		"has no target latency":                       func(r *Route, _ *Limits) { r.Objective = 0 },
		"the last can't begin within its timeout":     func(r *Route, _ *Limits) { r.Attempts = 6 },
		"allow heads of 65536 bytes":                  func(_ *Route, l *Limits) { l.MaxHeaderBytes = 64 << 10 },
		"allow bodies of 134217728 bytes, and gatew":  func(_ *Route, l *Limits) { l.MaxBodyBytes = 128 << 20 },
		"bodies of 41943040 bytes, and a VM has 3355": func(_ *Route, l *Limits) { l.MaxBodyBytes = 40 << 20 },
		"allow 20s for a head":                        func(_ *Route, l *Limits) { l.HeaderTimeout, l.IdleTimeout = 20*time.Second, 30*time.Second },
		"keep idle connections for 5m0s":              func(_ *Route, l *Limits) { l.IdleTimeout = 5 * time.Minute },
		"before a head may be whole":                  func(_ *Route, l *Limits) { l.IdleTimeout = time.Second },
	} {
		r, l := goodRoute(), goodLimits()
		change(&r, &l)
		got := reviewed(t, []Route{r}, services, l)
		assert.Assert(t, strings.Contains(got, want), "want %q, got %q", want, got)
	}
	twin := goodRoute()
	twin.Prefix = "/b/"
	assert.Assert(t, strings.Contains(reviewed(t, []Route{goodRoute(), twin}, services, goodLimits()), "has the name of another route"))
	idle := append(services, Service{Name: "x", HealthPath: "/health"})
	assert.Assert(t, strings.Contains(reviewed(t, []Route{goodRoute()}, idle, goodLimits()), "service x: gets no requests"))
	zero := goodRoute()
	zero.Split = append(zero.Split, WeightedService{"x", 0})
	assert.Assert(t, strings.Contains(reviewed(t, []Route{zero}, idle, goodLimits()), "gives service x the weight 0"))
	odd := []Service{{Name: "s", HealthPath: "health"}}
	assert.Assert(t, strings.Contains(reviewed(t, []Route{goodRoute()}, odd, goodLimits()), `health path "health"`))
}

func TestCompareNamesEachDifference(t *testing.T) {
	services := []Service{{Name: "s", HealthPath: "/health"}}
	old, err := NewTable(2, []Route{goodRoute()}, services, goodLimits())
	assert.NilError(t, err)
	assert.Equal(t, len(old.Compare(old)), 1, "only that the version is not newer")
	changed, added := goodRoute(), goodRoute()
	changed.Timeout, added.Name, added.Prefix = 2*time.Second, "new", "/new/"
	limits := goodLimits()
	limits.IdleTimeout = time.Minute
	now, err := NewTable(3, []Route{changed, added}, append(services, Service{Name: "x", HealthPath: "/"}), limits)
	assert.NilError(t, err)
	var places []string
	for _, f := range now.Compare(old) {
		assert.Equal(t, f.Severity, Change)
		places = append(places, f.Place)
	}
	assert.DeepEqual(t, places, []string{"route new", "route r", "service x", "limits"})
	assert.Assert(t, strings.Contains(now.Compare(old)[1].Problem, "timeout 1s"), "%v", now.Compare(old)[1])
}
