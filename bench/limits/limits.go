// Package limits measures how allowances and queues keep customers apart: the
// pure decision code against in-memory queues with seeded arrivals, and the cost
// of the shares in bytes. Each ratio compares two runs with the same arrivals.
package limits

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/policy/share"
	"github.com/baobabstack/baobabstack/internal/supervisor/shares"
)

// maxInfluence is the most by which one customer or service may change
// another's p99.
const maxInfluence = 1.10

// unbounded lets an entry have any number of calls in flight.
const unbounded = 1000

// Measure returns the benchmark.
func Measure() report.Measure { return report.Measure{Name: "limits", Run: run} }

func run(_ context.Context, o report.Options) ([]report.Line, error) {
	length := 30 * time.Second
	if o.Short {
		length = 4 * time.Second
	}
	lines := noisyLines(o.Seed, length)
	lines = append(lines, historyLines(o.Seed, length)...)
	lines = append(lines, skewLines(o.Seed, length)...)
	lines = append(lines, transferLines()...)
	bytes, err := borrowLines()
	if err != nil {
		return nil, err
	}
	lines = append(lines, bytes...)
	return append(lines, memoryLine()), nil
}

// noisyLines compares the other customers' p99 with and without one customer
// that offers ten times its allowance.
func noisyLines(seed uint64, length time.Duration) []report.Line {
	ratio := func(change func(*fleetModel)) float64 {
		calm, noisy := stockModel(seed, length), stockModel(seed, length)
		change(calm)
		change(noisy)
		noisy.customers[0].offered *= 10 / calmShare
		return noisy.p99Of(others) / calm.p99Of(others)
	}
	return []report.Line{
		report.AtMost("limits_noisy_customer_p99_ratio", ratio(func(*fleetModel) {}), "ratio", maxInfluence),
		report.Info("limits_noisy_customer_p99_ratio_fair_queue_only", ratio(func(m *fleetModel) { m.unlimited = true }), "ratio"),
		report.Info("limits_noisy_customer_p99_ratio_neither", ratio(func(m *fleetModel) { m.unlimited, m.fifo = true, true }), "ratio"),
	}
}

// historyLines compares bookings' p99 with and without yard history at three
// times what its servers can run.
func historyLines(seed uint64, length time.Duration) []report.Line {
	with, without := historyModel(seed, length, true), historyModel(seed, length, false)
	ratio := with.p99Of(bookings) / without.p99Of(bookings)
	return []report.Line{
		report.AtMost("limits_history_saturated_bookings_p99_ratio", ratio, "ratio", maxInfluence),
		report.AtMost("limits_history_saturated_bookings_refused", float64(with.refusedOf(bookings)), "calls", 0),
		report.Info("limits_history_most_in_flight_at_an_entry", float64(with.mostInFlight), "calls"),
	}
}

// skewLines measures the bound on calls in flight for an entry that gets many
// times the others' calls, against no such bound. Calls have no allowance here,
// since the bound is what is compared.
func skewLines(seed uint64, length time.Duration) []report.Line {
	p99 := func(skew, overcommit float64, reports bool) float64 {
		m := stockModel(seed, length)
		m.unlimited, m.reports, m.skew, m.overcommit = true, reports, skew, overcommit
		return m.p99Of(others)
	}
	var lines []report.Line
	for _, skew := range []float64{4, 100} {
		free := p99(skew, unbounded, false)
		for _, by := range []float64{1, 2, 4} {
			name := fmt.Sprintf("limits_skew_%g_p99_ratio_overcommit_%g", skew, by)
			lines = append(lines, report.Info(name, p99(skew, by, false)/free, "ratio"))
		}
		name := fmt.Sprintf("limits_skew_%g_p99_ratio_with_reports", skew)
		lines = append(lines, report.AtMost(name, p99(skew, overcommit, true)/free, "ratio", maxInfluence))
	}
	return lines
}

// memoryLine measures the memory of an account at the bound on their number.
func memoryLine() report.Line {
	const accounts = 100_000
	limit := shares.Limit{RateLimit: share.RateLimit{Rate: 1, Burst: 1}, Concurrency: 1}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	book := shares.NewAccountTable(clock.Boot{})
	for i := range accounts {
		book.Admit(shares.Key{Customer: "customer-" + strconv.Itoa(i), Service: "stock"}, limit)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perAccount := float64(after.HeapAlloc-before.HeapAlloc) / float64(book.Accounts())
	return report.AtMost("limits_bytes_per_account", perAccount, "B", accountBytes)
}

// accountBytes is what an account may take so that the most accounts of a
// process stay below half of the 256 MB that control may use.
const accountBytes = 128 << 20 / shares.MaxAccounts
