package shares

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/share"
	"github.com/baobabstack/baobabstack/internal/standin"
)

var key = Key{Customer: "shipping-agents", Service: "stock"}

// newTable returns a table with the sample lists and a manual clock.
func newTable(t testing.TB) (*AccountTable, *clock.Manual) {
	clk := &clock.Manual{T: time.Hour}
	table := NewAccountTable(clk)
	clk.T += time.Hour
	table.Reload(sampleLists(t))
	return table, clk
}

func sampleLists(t testing.TB) (*lists.Plans, *lists.Allowances) {
	t.Helper()
	plans, faults := lists.ParsePlans("plans", standin.SamplePlans())
	assert.Equal(t, len(faults), 0)
	allowances, faults := lists.ParseAllowances("allowances", standin.SampleAllowances())
	assert.Equal(t, len(faults), 0)
	return plans, allowances
}

func TestAdmitBoundsConcurrencyAndReleasesSlots(t *testing.T) {
	table, _ := newTable(t)
	l := Limit{RateLimit: share.RateLimit{Rate: 1, Burst: 10}, Concurrency: 2}
	first, refusal := table.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
	_, refusal = table.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
	_, refusal = table.Admit(key, l)
	assert.Equal(t, refusal.Reason, Concurrency)
	first.Release()
	_, refusal = table.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
}

func TestRateRefusalReturnsTimeUntilNextToken(t *testing.T) {
	table, clk := newTable(t)
	l := Limit{RateLimit: share.RateLimit{Rate: 4, Burst: 1}, Concurrency: 10}
	reservation, _ := table.Admit(key, l)
	_, refusal := table.Admit(key, l)
	assert.Equal(t, refusal, Refusal{Reason: Rate, RetryAfter: 250 * time.Millisecond})
	clk.T += refusal.RetryAfter
	_, refusal = table.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
	reservation.Refund()
	_, refusal = table.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
}

func TestLendRefusesUnlistedCustomersAndServices(t *testing.T) {
	table, _ := newTable(t)
	assert.Assert(t, table.Lend(key, share.RequestID{Number: 1}, 5) > 0)
	assert.Equal(t, table.Lend(Key{Customer: "nobody", Service: "stock"}, share.RequestID{Number: 2}, 5), 0.0)
	assert.Equal(t, table.Lend(Key{Customer: "shipping-agents", Service: "none"}, share.RequestID{Number: 3}, 5), 0.0)
	assert.Equal(t, table.Accounts(), 1)
}

func TestLateGrantIsDropped(t *testing.T) {
	table, clk := newTable(t)
	l, _ := table.limits.Load().lookup(key)
	for range int(l.RateLimit.Burst) {
		reservation, refusal := table.Admit(key, l)
		assert.Equal(t, refusal.Reason, Reason(""))
		reservation.Release()
	}
	sent, _ := table.borrowAmount(key)
	_, refusal := table.Admit(key, l)
	assert.Equal(t, refusal.Reason, Rate)
	clk.T += share.TransferTimeout
	before := table.shardOf(key).accounts[key].bucket.Tokens(clk.T)
	table.receiveGrant(key, sent, 50)
	assert.Equal(t, table.shardOf(key).accounts[key].bucket.Tokens(clk.T), before)
}

func TestSweepDeletesIdleFullAccounts(t *testing.T) {
	table, clk := newTable(t)
	l := Limit{RateLimit: share.RateLimit{Rate: 100, Burst: 1}, Concurrency: 10}
	const rounds, customers = 20, 50 * shardCount
	for round := range rounds {
		for i := range customers {
			reservation, refusal := table.Admit(Key{Customer: fmt.Sprint(round, "-", i), Service: "stock"}, l)
			assert.Equal(t, refusal.Reason, Reason(""))
			reservation.Release()
		}
		clk.T += time.Minute
	}
	assert.Assert(t, table.Accounts() < 4*customers, "%d accounts", table.Accounts())
}

func BenchmarkAdmit(b *testing.B) {
	table := NewAccountTable(clock.Boot{})
	l := Limit{RateLimit: share.RateLimit{Rate: 1e9, Burst: 1e9}, Concurrency: 1 << 30}
	time.Sleep(table.AccrualDelay())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			reservation, refusal := table.Admit(key, l)
			if refusal.Reason == "" {
				reservation.Release()
			}
		}
	})
}
