package routing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Severity says what a finding means for the operator.
type Severity string

// Severities.
const (
	// Fault: gateways refuse the configuration.
	Fault Severity = "error"
	// Warning: gateways take the configuration, and a part of it has no effect or contradicts
	// another.
	Warning Severity = "warning"
	// Change: the entry differs from the version in force.
	Change Severity = "change"
)

// Finding is what a review of a configuration has found.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the path of the entry.
	Place   string `json:"place"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy,omitempty"`
}

// String returns the finding in one line.
func (f Finding) String() string {
	line := string(f.Severity) + ": " + f.Place + ": " + f.Problem
	if f.Remedy != "" {
		line += "; " + f.Remedy
	}
	return line
}

// Bounds are a gateway's own bounds, within which a configuration's limits have an effect.
type Bounds struct {
	HeadBytes, BodyBytes int
	// RequestBytes is the memory for requests; 0 if it is not known.
	RequestBytes   int
	RequestTimeout time.Duration
	IdleTimeout    time.Duration
}

// Review returns warnings on a table that gateways take.
func (t *Table) Review(b Bounds) []Finding {
	var out []Finding
	warn := func(place, problem, remedy string) { out = append(out, Finding{Warning, place, problem, remedy}) }
	names := make(map[string]int)
	used := make(map[string]bool)
	for _, r := range t.All() {
		names[r.Name]++
		if names[r.Name] == 2 {
			warn(r.place(), "has the name of another route", "give each route a name of its own: what is learned of routes is kept by name")
		}
		for _, p := range r.Split {
			used[p.Service] = used[p.Service] || p.Weight > 0
		}
		r.review(warn)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		s := t.Services[name]
		switch {
		case !used[name]:
			warn("service "+name, "gets no requests: no route names it with a weight above 0", "remove it, or name it in a route")
		case !strings.HasPrefix(s.HealthPath, "/"):
			warn("service "+name, fmt.Sprintf("has the health path %q", s.HealthPath), "begin it with a slash")
		}
	}
	t.Limits.review(b, warn)
	return out
}

func (r *Route) place() string { return "route " + r.Name }

// review warns of a route that can never match or whose limits contradict each other.
func (r *Route) review(warn func(place, problem, remedy string)) {
	if host := hostOnly(r.Host); host != r.Host || r.Host == "" {
		warn(r.place(), fmt.Sprintf("can never match: its host is %q, and requests are matched by their host without a port, in lower case", r.Host), fmt.Sprintf("use %q", host))
	}
	if i := strings.IndexFunc(r.Prefix, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == '#' || c == '?' }); i >= 0 {
		warn(r.place(), fmt.Sprintf("can never match: its prefix %q has a character that no path has", r.Prefix), "use the path as it stands in requests, encoded and without a query")
	}
	seen := make(map[string]bool)
	for _, p := range r.Split {
		switch {
		case seen[p.Service]:
			warn(r.place(), "names service "+p.Service+" twice in its split", "add the weights up")
		case p.Weight == 0:
			warn(r.place(), "gives service "+p.Service+" the weight 0, so that it gets nothing", "remove the part, or raise its weight")
		}
		seen[p.Service] = true
	}
	switch {
	case r.Objective <= 0:
		warn(r.place(), "has no target latency", "set the time within which an answer should come")
	case r.Objective > r.Timeout:
		warn(r.place(), fmt.Sprintf("has a target latency of %s above its timeout of %s", r.Objective, r.Timeout), "lower the target, or raise the timeout")
	case r.Attempts > 1 && time.Duration(r.Attempts-1)*r.Objective >= r.Timeout:
		warn(r.place(), fmt.Sprintf("has %d attempts, of which the last can't begin within its timeout of %s if the others take the target latency of %s", r.Attempts, r.Timeout, r.Objective), "allow fewer attempts, or raise the timeout")
	}
}

// review warns of limits that have no effect, or that contradict each other.
func (l Limits) review(b Bounds, warn func(place, problem, remedy string)) {
	const place = "limits"
	if l.MaxHeaderBytes > b.HeadBytes {
		warn(place, fmt.Sprintf("allow heads of %d bytes, and gateways take at most %d", l.MaxHeaderBytes, b.HeadBytes), "lower the limit")
	}
	if l.MaxBodyBytes > b.BodyBytes {
		warn(place, fmt.Sprintf("allow bodies of %d bytes, and gateways take at most %d", l.MaxBodyBytes, b.BodyBytes), "lower the limit")
	}
	if body := min(cmp.Or(l.MaxBodyBytes, b.BodyBytes), b.BodyBytes); b.RequestBytes > 0 && body > b.RequestBytes {
		warn(place, fmt.Sprintf("allow bodies of %d bytes, and a VM has %d bytes for all requests", body, b.RequestBytes), "lower the limit, or use larger VMs")
	}
	if l.HeaderTimeout > b.RequestTimeout {
		warn(place, fmt.Sprintf("allow %s for a head, and gateways wait at most %s", l.HeaderTimeout, b.RequestTimeout), "lower the limit")
	}
	if l.IdleTimeout > b.IdleTimeout {
		warn(place, fmt.Sprintf("keep idle connections for %s, and gateways for at most %s", l.IdleTimeout, b.IdleTimeout), "lower the limit")
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		warn(place, fmt.Sprintf("close idle connections after %s, before a head may be whole (%s)", l.IdleTimeout, l.HeaderTimeout), "make the idle timeout the longer one")
	}
}

// Compare returns what differs in a table from the one in force.
func (t *Table) Compare(inForce *Table) []Finding {
	var out []Finding
	change := func(place, problem string) { out = append(out, Finding{Change, place, problem, ""}) }
	if t.Version <= inForce.Version {
		out = append(out, Finding{Warning, "version", fmt.Sprintf("is %08x and not newer than %08x, which is in force: gateways ignore it", t.Version, inForce.Version), "use a higher version"})
	}
	compareMaps(routesByName(inForce), routesByName(t), "route ", Route.String, change)
	compareMaps(inForce.Services, t.Services, "service ", func(s Service) string { return fmt.Sprintf("%+v", s) }, change)
	if inForce.Limits != t.Limits {
		change("limits", fmt.Sprintf("change from %+v to %+v", inForce.Limits, t.Limits))
	}
	return out
}

func compareMaps[T any](before, after map[string]T, kind string, text func(T) string, change func(place, problem string)) {
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		old, had := before[name]
		now, has := after[name]
		switch {
		case !had:
			change(kind+name, "is new: "+text(now))
		case !has:
			change(kind+name, "is removed: "+text(old))
		case text(old) != text(now):
			change(kind+name, "changes from "+text(old)+" to "+text(now))
		}
	}
}

func routesByName(t *Table) map[string]Route {
	out := make(map[string]Route)
	for _, r := range t.All() {
		out[r.Name] = *r
	}
	return out
}

// All returns the routes, sorted by name.
func (t *Table) All() []*Route {
	var out []*Route
	for _, list := range t.byHost {
		out = append(out, list...)
	}
	slices.SortStableFunc(out, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	return out
}

// String returns the route without its name.
func (r Route) String() string {
	var split []string
	for _, p := range r.Split {
		split = append(split, fmt.Sprintf("%s*%d", p.Service, p.Weight))
	}
	return fmt.Sprintf("%s%s to %s, idempotent %t, attempts %d, timeout %s, target %s, priority %d", r.Host, r.Prefix, strings.Join(split, "+"), r.Idempotent, r.Attempts, r.Timeout, r.Objective, r.Priority)
}
