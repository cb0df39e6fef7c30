package limits

import (
	"time"

	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/internal/policy/share"
	"github.com/baobabstack/baobabstack/internal/supervisor/shares"
)

const (
	// fleetEntries is the number of entries that an allowance is divided by.
	fleetEntries = 17
	// liveEntries is the number of entries that run.
	liveEntries = 13
	// transferRate and transferBurst are the allowance.
	transferRate  = 1700
	transferBurst = 850
	// transferTrip is the time from a request for tokens to the grant.
	transferTrip = 2 * time.Millisecond
	// askEvery is the least time between the requests of an entry.
	askEvery = time.Second / shares.BorrowRequestsPerSecond
	// mostOf is the least part of what the live entries own that a customer whose
	// calls all reach one entry gets.
	mostOf = 0.5
	// transferTime is how long calls arrive.
	transferTime = 20 * time.Second
)

// transferLines measures which part of an allowance a customer gets when its
// calls, twice its allowance, reach one entry or all.
func transferLines() []report.Line {
	one := served(1, true)
	return []report.Line{
		report.Info("limits_allowance_used_one_entry_without_transfers", served(1, false), "part"),
		report.Info("limits_allowance_used_one_entry_with_transfers", one, "part"),
		report.AtLeast("limits_live_entries_part_used_by_one_entry", one*fleetEntries/liveEntries, "part", mostOf),
		report.Info("limits_allowance_used_three_entries_with_transfers", served(3, true), "part"),
		report.Info("limits_allowance_used_all_live_entries", served(liveEntries, true), "part"),
	}
}

// served runs calls that reach so many of the live entries in turn.
func served(reached int, transfers bool) float64 {
	plan := share.RateLimitPerEntry(transferRate, transferBurst, fleetEntries)
	var buckets [liveEntries]share.Bucket
	for i := range buckets {
		buckets[i] = share.NewBucket(plan, -time.Hour, 0)
		for buckets[i].Take(0, plan) {
			continue
		}
	}
	var asked [liveEntries]time.Duration
	step := time.Second / (2 * transferRate)
	taken, ask, lender := 0, uint64(0), 0
	for now, n := time.Duration(0), 0; now < transferTime; now, n = now+step, n+1 {
		i := n % reached
		if buckets[i].Take(now, plan) {
			taken++
		}
		if !transfers || now-asked[i] < askEvery {
			continue
		}
		if want := buckets[i].BorrowAmount(now); want > 0 {
			asked[i] = now
			ask++
			lender = (lender + 1) % liveEntries
			if lender != i {
				granted := buckets[lender].Lend(now, share.RequestID{Borrower: uint64(i), Number: ask}, want, plan)
				buckets[i].Receive(now+transferTrip, now, granted, plan)
			}
		}
	}
	return float64(taken) / (transferRate * transferTime.Seconds())
}
