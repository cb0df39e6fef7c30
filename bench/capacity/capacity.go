package capacity

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/baobabstack/baobabstack/bench/report"
)

// The size to design for.
const (
	targetServers       = 3400
	targetEntries       = 200
	targetChangesPerDay = 1900 + 1100
	secondsPerDay       = 86_400
)

// The stated limits of one node's control.
const (
	limitCPU    = 2.2
	limitMemory = 256 << 20
	limitBytes  = 28_000
	limitSpread = 4.0
)

// Measure returns the measure of control's cost.
func Measure() report.Measure { return report.Measure{Name: "capacity", Run: run} }

func run(ctx context.Context, o report.Options) ([]report.Line, error) {
	byServers := []size{{200, 8}, {1000, 8}, {3400, 8}}
	byEntries := []size{{1000, 6}, {1000, 17}, {1000, 40}}
	w := window{idle: 8 * time.Second, changes: 8, every: 500 * time.Millisecond}
	if o.Short {
		byServers = []size{{200, 4}, {1000, 4}, {3400, 4}}
		byEntries = nil
		w = window{idle: 2 * time.Second, changes: 2, every: 200 * time.Millisecond}
	}
	servers, err := measureAll(ctx, o.Binary, byServers, w)
	if err != nil {
		return nil, err
	}
	entries, err := measureAll(ctx, o.Binary, byEntries, w)
	if err != nil {
		return nil, err
	}
	idle, err := connections(ctx, o.Binary)
	if err != nil {
		return nil, err
	}
	return append(lines(servers, entries), idle...), nil
}

func measureAll(ctx context.Context, binary string, sizes []size, w window) ([]sample, error) {
	var samples []sample
	for _, at := range sizes {
		s, err := measure(ctx, binary, at, w)
		if err != nil {
			return nil, err
		}
		fmt.Fprintln(os.Stderr, "capacity:", s)
		samples = append(samples, s)
	}
	return samples, nil
}

// slopeOf fits a value of the samples against their size.
func slopeOf(samples []sample, sizeOf func(sample) int, value func(sample) float64) slope {
	var sizes, values []float64
	for _, s := range samples {
		sizes = append(sizes, float64(sizeOf(s)))
		values = append(values, value(s))
	}
	return fit(sizes, values)
}

// lines reports slopes by the number of servers and entries, and what they come
// to at the target size. An empty series of entries leaves its slopes out.
func lines(servers, entries []sample) []report.Line {
	bySize := func(s sample) int { return s.servers }
	cpu := slopeOf(servers, bySize, func(s sample) float64 { return s.cpu })
	memory := slopeOf(servers, bySize, func(s sample) float64 { return s.memory })
	bytes := slopeOf(servers, bySize, func(s sample) float64 { return s.bytes })
	change := slopeOf(servers, bySize, func(s sample) float64 { return s.cpuPerChange })
	changeBytes := slopeOf(servers, bySize, func(s sample) float64 { return s.bytesPerChange })
	changes := float64(targetChangesPerDay) / secondsPerDay
	cpuAt := cpu.at(targetServers) + 100*changes*change.at(targetServers)/1000
	bytesAt := bytes.at(targetServers) + changes*changeBytes.at(targetServers)
	out := []report.Line{
		report.Info("capacity.cpu.per-server", 1000*cpu.per, "%/1000-servers"),
		report.Info("capacity.memory.per-server", memory.per, "B"),
		report.Info("capacity.bytes.per-server", bytes.per, "B/s"),
		report.Info("capacity.change.cpu.per-server", 1000*change.per, "µs"),
		report.Info("capacity.change.bytes.per-server", changeBytes.per, "B"),
	}
	if len(entries) == 0 {
		return append(out, report.AtMost("capacity.memory.at-3400-servers", memory.at(targetServers)/(1<<20), "MB", limitMemory/(1<<20)),
			report.AtMost("capacity.cpu.at-3400-servers", cpuAt, "%", limitCPU),
			report.AtMost("capacity.bytes.at-3400-servers", bytesAt, "B/s", limitBytes))
	}
	return append(out, entryLines(entries, memory.at(targetServers), cpuAt, bytesAt)...)
}

// entryLines adds the growth with the number of entries to the costs at the
// target's number of servers.
func entryLines(entries []sample, memoryAt, cpuAt, bytesAt float64) []report.Line {
	bySize := func(s sample) int { return s.entries }
	cpu := slopeOf(entries, bySize, func(s sample) float64 { return s.cpu })
	bytes := slopeOf(entries, bySize, func(s sample) float64 { return s.bytes })
	memory := slopeOf(entries, bySize, func(s sample) float64 { return s.memory })
	reads := slopeOf(entries, bySize, func(s sample) float64 { return s.reads * float64(s.entries) })
	spread := 0.0
	for _, s := range entries {
		spread = max(spread, s.spread)
	}
	more := float64(targetEntries - entries[0].entries)
	return []report.Line{
		report.Info("capacity.cpu.per-entry", 1000*cpu.per, "%/1000-entries"),
		report.Info("capacity.bytes.per-entry", bytes.per, "B/s"),
		report.Info("capacity.memory.per-entry", memory.per, "B"),
		report.Info("capacity.reads.per-entry", reads.per, "reads/s"),
		report.AtMost("capacity.spread.at-40-entries", spread, "s", limitSpread),
		report.AtMost("capacity.memory.at-target", (memoryAt+max(memory.per*more, 0))/(1<<20), "MB", limitMemory/(1<<20)),
		report.AtMost("capacity.cpu.at-target", cpuAt+max(cpu.per*more, 0), "%", limitCPU),
		report.AtMost("capacity.bytes.at-target", bytesAt+max(bytes.per*more, 0), "B/s", limitBytes),
	}
}
