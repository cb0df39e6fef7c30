// Package routing matches requests to routes. A table is immutable; a change of
// the configuration creates a new one.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// Route configures the requests of one host and path prefix: their services, retries
// and time limits.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is the authority without a port, in lower case.
	Host string
	// Prefix is the path prefix of the route. It begins and ends with a slash.
	Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Attempts is the maximum number of servers that a request is sent to.
	Attempts int
	// Timeout limits the time from the request to its answer.
	Timeout time.Duration
	// Objective is the latency target: the time within which an answer should arrive.
	Objective time.Duration
	// Priority ranks routes that share a service; 0 is the most urgent.
	Priority int
	// Split holds the services and their weights, at least one.
	Split []WeightedService
}

// WeightedService is a service and its weight in a traffic split.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Pick returns the service for a point in [0, 1). Random points give each service its
// share of the weights.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	remaining := point * float64(total)
	for _, p := range r.Split {
		if remaining -= float64(p.Weight); remaining < 0 {
			return p.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections limits the connections of all callers to one server; 0 means
	// unlimited.
	MaxConnections int
	// WarmupRate is the number of requests per second that a cold server tolerates, from all
	// callers together; 0 means unlimited.
	WarmupRate float64
}

// Limits restrict the size and the duration of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	// Version increases with each change.
	Version uint64
	// Services holds the services by name.
	Services map[string]Service
	// Limits apply to all callers.
	Limits Limits

	byHost map[string][]*Route // longest prefix first
}

// NewTable checks the routes and returns a table of them. It fails with a fault of kind
// List that names the first invalid route.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Services: make(map[string]Service, len(services)), Limits: limits, byHost: make(map[string][]*Route)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := t.validate(r); err != nil {
			return nil, err
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for host, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		for i := 1; i < len(list); i++ {
			if list[i].Prefix == list[i-1].Prefix {
				return nil, badRoute(list[i].Name, "has the host "+host+" and prefix of route "+list[i-1].Name, "change one prefix")
			}
		}
	}
	return t, nil
}

// validate checks one route; duplicate prefixes are found by NewTable.
func (t *Table) validate(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return badRoute(r.Name, "has the prefix "+r.Prefix, "begin and end it with a slash")
	case r.Timeout <= 0:
		return badRoute(r.Name, "has no timeout", "set one above 0")
	case r.Attempts < 1:
		return badRoute(r.Name, "allows no attempt", "allow at least 1")
	case len(r.Split) == 0:
		return badRoute(r.Name, "names no service", "name one")
	}
	total := 0
	for _, p := range r.Split {
		if _, ok := t.Services[p.Service]; !ok {
			return badRoute(r.Name, "names the unknown service "+p.Service, "declare the service")
		}
		if p.Weight < 0 {
			return badRoute(r.Name, "has a negative weight for service "+p.Service, "use 0 or more")
		}
		total += p.Weight
	}
	if total == 0 {
		return badRoute(r.Name, "has weights whose sum is 0", "give one service a weight above 0")
	}
	return nil
}

func badRoute(name, problem, remedy string) error {
	return fault.New(fault.List, "route "+name, problem, remedy)
}

// Match returns the route with the longest matching prefix of a path. Host is the value
// of a Host header, with or without a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostOnly(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// hostOnly returns the value of a Host header without the port, in lower case.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
