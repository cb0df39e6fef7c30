package policy

import (
	"context"
	"fmt"
	"sync"

	"github.com/baobabstack/baobabstack/bench/report"
)

// Measure is the policy benchmark.
var Measure = report.Measure{Name: "policy", Run: measure}

const (
	shortCalls  = 30_000 // calls of one run
	fullCalls   = 200_000
	workers     = 3
	twoBaseline = "two-choices"
	optimum     = "omniscient"
	unhedged    = "product"
	hedged      = "product-hedged"
)

var loads = []float64{0.6, 0.7, 0.8}

// cell is one service under one condition and load, and its result by policy.
type cell struct {
	*scenario
	results map[string]result
}

func (c cell) name() string {
	return fmt.Sprintf("policy/%s/%s/%g", c.service.name, c.condition, c.load)
}

func (c cell) tail(policy string) float64 {
	return float64(c.results[policy].latency.ValueAtQuantile(99.9)) / 1000
}

// measure runs all policies over the same arrivals. The short run has all loads
// under the neighbours' condition and one load under the others.
func measure(ctx context.Context, o report.Options) ([]report.Line, error) {
	calls := fullCalls
	if o.Short {
		calls = shortCalls
	}
	var cells []cell
	for _, s := range services {
		for _, c := range conditions {
			for _, load := range loads {
				if !o.Short || c == neighbours || load == loads[1] {
					cells = append(cells, cell{newScenario(s, c, load, calls, o.Seed), make(map[string]result)})
				}
			}
		}
	}
	var wait sync.WaitGroup
	free := make(chan struct{}, workers)
	for _, c := range cells {
		free <- struct{}{}
		wait.Go(func() {
			for _, p := range policies {
				c.results[p.name] = run(c.scenario, p)
			}
			<-free
		})
	}
	wait.Wait()
	return append(details(cells, o.Short), verdicts(cells)...), ctx.Err()
}

// details returns the figures of each run, only the tails for a short run.
func details(cells []cell, short bool) []report.Line {
	var lines []report.Line
	for _, c := range cells {
		for _, p := range policies {
			name, r := c.name()+"/"+p.name, c.results[p.name]
			lines = append(lines, report.Info(name+"/p999", c.tail(p.name), "ms"))
			if short {
				continue
			}
			serverSeconds := c.horizon.Seconds() * (1 - warmUpShare) * float64(c.servers)
			bytes := float64(r.probes*probeBytes + r.attempts*reportBytes)
			lines = append(lines,
				report.Info(name+"/p50", float64(r.latency.ValueAtQuantile(50))/1000, "ms"),
				report.Info(name+"/p99", float64(r.latency.ValueAtQuantile(99))/1000, "ms"),
				report.Info(name+"/rejects", float64(r.rejected)/float64(r.calls), "share"),
				report.Info(name+"/goodput", float64(r.answered)/float64(r.calls), "share"),
				report.Info(name+"/probes", float64(r.probes)/serverSeconds, "1/server/s"),
				report.Info(name+"/bytes", bytes/serverSeconds, "B/server/s"))
		}
	}
	return lines
}

// verdicts returns the figures that have a bound.
func verdicts(cells []cell) []report.Line {
	var lines []report.Line
	for _, load := range loads {
		var gained, possible, worst float64
		for _, c := range cells {
			if c.condition != neighbours || c.load != load {
				continue
			}
			if c.kind == lookup {
				worst = max(worst, c.tail(hedged)/c.tail(optimum))
			}
			if c.kind == booking {
				gained += (c.tail(twoBaseline) - c.tail(unhedged)) / c.tail(optimum)
				possible += (c.tail(twoBaseline) - c.tail(optimum)) / c.tail(optimum)
			}
		}
		at := fmt.Sprintf("@%g", load)
		lines = append(lines, report.AtLeast("policy/bookings-closed"+at, gained/possible, "share", 0.8),
			report.AtMost("policy/lookups-hedged"+at, worst, "of-omniscient", 1))
	}
	var hedges, drawn, probes float64
	for _, c := range cells {
		r := c.results[hedged]
		hedges = max(hedges, float64(r.hedges)/float64(len(c.arrivals)))
		probes = max(probes, float64(r.probes)/c.horizon.Seconds()/float64(c.servers))
		if c.condition == failFast {
			first := max(c.results[unhedged].toFirst, r.toFirst)
			drawn = max(drawn, float64(first*c.servers)/float64(len(c.arrivals)))
		}
	}
	return append(lines, report.AtMost("policy/hedges", hedges, "of-calls", 0.05),
		report.AtMost("policy/probes", probes, "1/server/s", probeBudget),
		report.AtMost("policy/fail-fast", drawn, "of-fair-share", 1))
}
