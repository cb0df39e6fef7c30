// Package hop measures what an entry adds to a call: one entry on loopback as a
// process of its own, next to direct calls in the same run.
package hop

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/internal/standin"
)

const (
	// addedTargetMs is the target for the latency that an entry adds for 99 in
	// 100 calls.
	addedTargetMs = 0.75

	workers        = 64
	warmUpRate     = 5000
	maxLatency     = int64(10 * time.Second)
	turns          = 4
	turnTime       = time.Second
	shortTurnTime  = 300 * time.Millisecond
	startTimeout   = 30 * time.Second
	ticksPerSecond = 100 // of /proc/<pid>/stat
)

// Measure is the benchmark of one hop.
var Measure = report.Measure{Name: "hop", Run: run}

func run(ctx context.Context, o report.Options) ([]report.Line, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := standin.StartFleet(startCtx, standin.FleetOptions{
		Entries: 1, Binary: o.Binary, Allowances: allowances(),
		Servers: map[string][]standin.ServerOptions{"stock": {{ID: "stock-1", Slots: 256, Queue: 256}, {ID: "stock-2", Slots: 256, Queue: 256}}},
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	b := &bench{entry: fleet.Entries[0], direct: "http://" + fleet.Servers["stock-1"].Info.Address, turn: turnTime, toServer: newClient(), toEntry: newClient()}
	if o.Short {
		b.turn = shortTurnTime
	}
	if err := b.warmUp(); err != nil {
		return nil, err
	}
	var lines []report.Line
	for _, rate := range []int{1000, 5000, 10000} {
		more, err := b.measure(rate)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func allowances() []byte {
	return []byte(`entries = 1
[services.stock]
slots = 256
connections = 260
probes_per_second = 0.5
operations.lookup = { method = "GET", idempotent = true }
[plans.agent.stock]
rate = 100000
burst = 10000
concurrency = 1000
deadline = "5s"
[end]
services = 1
plans = 1
`)
}

type bench struct {
	entry    *standin.EntryProcess
	direct   string
	turn     time.Duration
	toServer *http.Client
	toEntry  *http.Client
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
}

// warmUp opens the connections that the measures use.
func (b *bench) warmUp() error {
	if _, err := load(b.toServer, b.direct, warmUpRate, b.turn, newHistogram()); err != nil {
		return err
	}
	_, err := load(b.toEntry, b.entry.URL(), warmUpRate, b.turn, newHistogram())
	return err
}

// measure alternates direct calls and calls through the entry at one rate.
func (b *bench) measure(rate int) ([]report.Line, error) {
	direct, through := newHistogram(), newHistogram()
	var calls int64
	var used time.Duration
	for range turns {
		if _, err := load(b.toServer, b.direct, rate, b.turn, direct); err != nil {
			return nil, err
		}
		before, err := processorTime(b.entry.PID())
		if err != nil {
			return nil, err
		}
		n, err := load(b.toEntry, b.entry.URL(), rate, b.turn, through)
		if err != nil {
			return nil, err
		}
		after, err := processorTime(b.entry.PID())
		if err != nil {
			return nil, err
		}
		calls += n
		used += after - before
	}
	name := fmt.Sprintf("hop-%d", rate)
	return []report.Line{
		report.Info(name+"-added-p50", addedMs(through, direct, 50), "ms"),
		report.AtMost(name+"-added-p99", addedMs(through, direct, 99), "ms", addedTargetMs),
		report.Info(name+"-direct-p99", ms(direct, 99), "ms"),
		report.Info(name+"-calls-per-core-second", float64(calls)/used.Seconds(), "calls/s"),
	}, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

func addedMs(through, direct *hdrhistogram.Histogram, quantile float64) float64 {
	return ms(through, quantile) - ms(direct, quantile)
}

// load sends calls on a fixed schedule, whether or not earlier ones are
// answered, and records the time from each call's due time to its answer.
func load(client *http.Client, url string, rate int, length time.Duration, into *hdrhistogram.Histogram) (int64, error) {
	total := int64(float64(rate) * length.Seconds())
	var next atomic.Int64
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	begin := time.Now()
	for range workers {
		all.Go(func() {
			err := work(client, url, func() (time.Time, bool) {
				n := next.Add(1) - 1
				return begin.Add(time.Duration(n) * time.Second / time.Duration(rate)), n < total
			}, func(took time.Duration) error {
				mu.Lock()
				defer mu.Unlock()
				return errors.WithStack(into.RecordValue(int64(took)))
			})
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = err
			}
		})
	}
	all.Wait()
	return total, failed
}

func work(client *http.Client, url string, next func() (time.Time, bool), record func(time.Duration) error) error {
	for {
		due, more := next()
		if !more {
			return nil
		}
		time.Sleep(time.Until(due))
		if err := one(client, url); err != nil {
			return err
		}
		if err := record(time.Since(due)); err != nil {
			return err
		}
	}
}

func one(client *http.Client, url string) error {
	req, err := http.NewRequest(http.MethodGet, url+"/stock/lookup?box=MODU1234567", http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+standin.SampleKey)
	res, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return errors.WithStack(err)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s: %s", url, res.Status, res.Header.Get("Baobab-Reason"))
	}
	return nil
}

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.WithStack(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
