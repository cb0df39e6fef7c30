package capacity

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// totals are counts since the start, summed over the entries.
type totals struct {
	at    time.Time
	cpu   time.Duration
	bytes float64
	reads int
}

func (p *probe) totals(ctx context.Context) (totals, error) {
	t := totals{at: time.Now(), reads: p.fleet.Platform.Reads()}
	for _, e := range p.fleet.Entries {
		cpu, err := cpuTime(e.PID())
		if err != nil {
			return t, err
		}
		bytes, err := metricSum(ctx, e.Admin, peerBytes)
		if err != nil {
			return t, err
		}
		t.cpu += cpu
		t.bytes += bytes
	}
	return t, nil
}

// watch measures first without and then with changes of the servers list.
func (p *probe) watch(ctx context.Context, w window) (sample, error) {
	s := sample{size: p.size}
	n := float64(p.size.entries)
	before, err := p.totals(ctx)
	if err != nil {
		return s, err
	}
	time.Sleep(w.idle)
	after, err := p.totals(ctx)
	if err != nil {
		return s, err
	}
	elapsed := after.at.Sub(before.at).Seconds()
	s.cpu = 100 * (after.cpu - before.cpu).Seconds() / elapsed / n
	s.bytes = (after.bytes - before.bytes) / elapsed / n
	s.reads = float64(after.reads-before.reads) / elapsed / n
	if err := p.watchChanges(ctx, w, &s); err != nil {
		return s, err
	}
	return s, p.memory(&s)
}

// watchChanges adds what changes cost beyond an idle fleet. The status reads
// that wait for a change to spread are paid for by the entries too; they are
// made by one entry at a time, which keeps them few.
func (p *probe) watchChanges(ctx context.Context, w window, s *sample) error {
	n := float64(p.size.entries)
	before, err := p.totals(ctx)
	if err != nil {
		return err
	}
	for i := range w.changes {
		start := time.Now()
		if err := p.change(ctx, i+1); err != nil {
			return err
		}
		s.spread = max(s.spread, time.Since(start).Seconds())
		time.Sleep(w.every)
	}
	after, err := p.totals(ctx)
	if err != nil {
		return err
	}
	elapsed := after.at.Sub(before.at).Seconds()
	idleCPU := s.cpu / 100 * elapsed
	cpu := (after.cpu-before.cpu).Seconds()/n - idleCPU
	s.cpuPerChange = 1000 * max(cpu, 0) / float64(w.changes)
	s.bytesPerChange = max((after.bytes-before.bytes)/n-s.bytes*elapsed, 0) / float64(w.changes)
	return nil
}

func (p *probe) memory(s *sample) error {
	for _, e := range p.fleet.Entries {
		resident, err := residentBytes(e.PID())
		if err != nil {
			return err
		}
		s.memory += resident / float64(p.size.entries)
	}
	return nil
}

// String returns the sample on one line for the log of a run.
func (s sample) String() string {
	return strings.Join([]string{
		fmt.Sprintf("servers=%d entries=%d", s.servers, s.entries),
		fmt.Sprintf("cpu=%.3f%% bytes=%.0f/s memory=%.1fMB reads=%.3f/s", s.cpu, s.bytes, s.memory/(1<<20), s.reads),
		fmt.Sprintf("change: cpu=%.2fms bytes=%.0f spread=%.3fs", s.cpuPerChange, s.bytesPerChange, s.spread),
	}, " ")
}
