package lists

import (
	"fmt"
	"math"
	"time"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// Operation is one kind of call that a service offers.
type Operation struct {
	// Method is the HTTP method.
	Method string
	// Idempotent says that running the operation twice does no harm.
	Idempotent bool
}

// Service is what the allowances list says of a service.
type Service struct {
	// Slots is the number of calls that one server runs at a time.
	Slots int
	// Connections is the most connections that one server takes from all
	// entries together.
	Connections int
	// ProbesPerSecond is the most probes that one server gets from all entries
	// together, in probes a second.
	ProbesPerSecond float64
	// Operations holds the service's operations by name.
	Operations map[string]Operation
}

// Allowance is what a plan may use of a service, over the whole fleet.
type Allowance struct {
	// Rate is the number of calls a second.
	Rate float64
	// Burst is the most calls that may come at once.
	Burst float64
	// Concurrency is the most calls in flight.
	Concurrency int
	// Deadline is the longest time for a call.
	Deadline time.Duration
	// Priority orders waiting calls; lower goes first.
	Priority int
}

// Allowances is the checked allowances list.
type Allowances struct {
	// Entries is the most entry VMs that run at any one time. Each one uses at
	// most 1/Entries of an allowance of its own accord.
	Entries int
	// Services holds the services by name.
	Services map[string]Service
	// Plans holds the allowances by plan and service. An allowance holds for
	// each customer of the plan.
	Plans map[string]map[string]Allowance
	// AllowShrink lets the list drop more than half of the services or plans at
	// once.
	AllowShrink bool
}

type allowancesFile struct {
	Entries  int                                  `toml:"entries"`
	Services map[string]serviceEntry              `toml:"services"`
	Plans    map[string]map[string]allowanceEntry `toml:"plans"`
	End      *allowancesEnd                       `toml:"end"`
}

type serviceEntry struct {
	Slots           int                       `toml:"slots"`
	Connections     int                       `toml:"connections"`
	ProbesPerSecond float64                   `toml:"probes_per_second"`
	Operations      map[string]operationEntry `toml:"operations"`
}

type operationEntry struct {
	Method     string `toml:"method"`
	Idempotent bool   `toml:"idempotent"`
}

type allowanceEntry struct {
	Rate        float64 `toml:"rate"`
	Burst       float64 `toml:"burst"`
	Concurrency int     `toml:"concurrency"`
	Deadline    string  `toml:"deadline"`
	Priority    int     `toml:"priority"`
}

type allowancesEnd struct {
	Services    int  `toml:"services"`
	Plans       int  `toml:"plans"`
	AllowShrink bool `toml:"allow_shrink"`
}

const (
	maxEntries  = 10_000
	maxDeadline = 10 * time.Minute
)

var methods = map[string]bool{"GET": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

// ParseAllowances decodes and checks an allowances list. The file name is used
// in faults only. All faults found are returned.
func ParseAllowances(file string, data []byte) (*Allowances, []error) {
	var raw allowancesFile
	p := NewPlace(fault.List, file, data)
	if faults := decodeTOML(p, data, &raw); len(faults) > 0 {
		return nil, faults
	}
	if err := checkAllowancesEnd(p, raw); err != nil {
		return nil, []error{err}
	}
	list := &Allowances{
		Entries: raw.Entries, AllowShrink: raw.End.AllowShrink,
		Services: make(map[string]Service), Plans: make(map[string]map[string]Allowance),
	}
	var faults []error
	if raw.Entries < 1 || raw.Entries > maxEntries {
		faults = append(faults, p.Fault("entries", fmt.Sprintf("is %d", raw.Entries), fmt.Sprintf("give the most entry VMs that run at any one time, 1 to %d", maxEntries)))
	}
	for _, name := range sortedKeys(raw.Services) {
		service, errs := buildService(p, "services."+name, raw.Services[name], raw.Entries)
		faults = append(faults, errs...)
		list.Services[name] = service
	}
	for _, name := range sortedKeys(raw.Plans) {
		plan, errs := buildPlan(p, "plans."+name, raw.Plans[name], list)
		faults = append(faults, errs...)
		list.Plans[name] = plan
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return list, nil
}

func checkAllowancesEnd(p Place, raw allowancesFile) error {
	if raw.End == nil {
		return p.Fault("end", "the [end] table is missing, so the list may be truncated",
			"finish the list with [end], services = and plans = the numbers of each")
	}
	if len(raw.Services) == 0 || len(raw.Plans) == 0 {
		return p.Fault("end", "the list names no service or no plan", "restore them; an empty list is never applied")
	}
	if raw.End.Services != len(raw.Services) {
		return p.Fault("end.services", fmt.Sprintf("is %d but the list names %d services", raw.End.Services, len(raw.Services)),
			"restore the missing services or correct the number")
	}
	if raw.End.Plans != len(raw.Plans) {
		return p.Fault("end.plans", fmt.Sprintf("is %d but the list names %d plans", raw.End.Plans, len(raw.Plans)),
			"restore the missing plans or correct the number")
	}
	return nil
}

func buildService(p Place, key string, raw serviceEntry, entries int) (Service, []error) {
	var faults []error
	if raw.Slots < 1 {
		faults = append(faults, p.Fault(key+".slots", fmt.Sprintf("is %d", raw.Slots), "give the calls that one server runs at a time, 1 or more"))
	}
	if raw.Connections < max(entries, 1) {
		faults = append(faults, p.Fault(key+".connections", fmt.Sprintf("is %d, below entries (%d)", raw.Connections, entries), "give at least one connection for each entry VM"))
	}
	if !(raw.ProbesPerSecond >= 0) || math.IsInf(raw.ProbesPerSecond, 0) {
		faults = append(faults, p.Fault(key+".probes_per_second", "is not a number of 0 or more", "give the measuring budget of one server, in probes a second"))
	}
	if len(raw.Operations) == 0 {
		faults = append(faults, p.Fault(key+".operations", "names no operation", "declare at least one operation"))
	}
	service := Service{Slots: raw.Slots, Connections: raw.Connections, ProbesPerSecond: raw.ProbesPerSecond, Operations: map[string]Operation{}}
	for _, name := range sortedKeys(raw.Operations) {
		op := raw.Operations[name]
		if !methods[op.Method] {
			faults = append(faults, p.Fault(key+".operations."+name+".method", fmt.Sprintf("is %q", op.Method), "use GET, POST, PUT, PATCH or DELETE"))
		}
		service.Operations[name] = Operation(op)
	}
	return service, faults
}

func buildPlan(p Place, key string, raw map[string]allowanceEntry, list *Allowances) (map[string]Allowance, []error) {
	var faults []error
	plan := make(map[string]Allowance, len(raw))
	for _, name := range sortedKeys(raw) {
		if _, known := list.Services[name]; !known {
			faults = append(faults, p.Fault(key+"."+name, "is no service of this list", "declare [services."+name+"] or correct the name"))
			continue
		}
		allowance, errs := buildAllowance(p, key+"."+name, raw[name], list.Entries)
		faults = append(faults, errs...)
		plan[name] = allowance
	}
	return plan, faults
}

func buildAllowance(p Place, key string, raw allowanceEntry, entries int) (Allowance, []error) {
	var faults []error
	if !(raw.Rate > 0) || math.IsInf(raw.Rate, 0) {
		faults = append(faults, p.Fault(key+".rate", "is not a number above 0", "give the calls a second for the whole fleet"))
	}
	if !(raw.Burst >= float64(entries)) || math.IsInf(raw.Burst, 0) {
		faults = append(faults, p.Fault(key+".burst", fmt.Sprintf("is below entries (%d)", entries), "give at least one call for each entry VM"))
	}
	if raw.Concurrency < entries {
		faults = append(faults, p.Fault(key+".concurrency", fmt.Sprintf("is below entries (%d)", entries), "give at least one call for each entry VM"))
	}
	deadline, err := time.ParseDuration(raw.Deadline)
	if err != nil || deadline <= 0 || deadline > maxDeadline {
		faults = append(faults, p.Fault(key+".deadline", fmt.Sprintf("is %q", raw.Deadline), "give a duration above 0s and up to "+maxDeadline.String()))
	}
	return Allowance{Rate: raw.Rate, Burst: raw.Burst, Concurrency: raw.Concurrency, Deadline: deadline, Priority: raw.Priority}, faults
}

// HasIdempotent reports whether the service offers an idempotent operation.
func (s Service) HasIdempotent() bool {
	for _, op := range s.Operations {
		if op.Idempotent {
			return true
		}
	}
	return false
}
