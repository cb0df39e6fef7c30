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

// newBook returns a book on a clock moved by hand, with the sample lists in
// force.
func newBook(t testing.TB) (*AccountTable, *clock.Manual) {
	clk := &clock.Manual{T: time.Hour}
	b := NewAccountTable(clk)
	clk.T += time.Hour
	b.Reload(sampleLists(t))
	return b, clk
}

func sampleLists(t testing.TB) (*lists.Plans, *lists.Allowances) {
	t.Helper()
	plans, faults := lists.ParsePlans("plans", standin.SamplePlans())
	assert.Equal(t, len(faults), 0)
	allowances, faults := lists.ParseAllowances("allowances", standin.SampleAllowances())
	assert.Equal(t, len(faults), 0)
	return plans, allowances
}

func TestAdmitBoundsCallsInFlightAndGivesPlacesBack(t *testing.T) {
	b, _ := newBook(t)
	l := Limit{RateLimit: share.RateLimit{Rate: 1, Burst: 10}, Concurrency: 2}
	first, refusal := b.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
	_, refusal = b.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
	_, refusal = b.Admit(key, l)
	assert.Equal(t, refusal.Reason, Concurrency)
	first.Release()
	_, refusal = b.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
}

func TestAdmitSaysWhenTheNextTokenComes(t *testing.T) {
	b, clk := newBook(t)
	l := Limit{RateLimit: share.RateLimit{Rate: 4, Burst: 1}, Concurrency: 10}
	pass, _ := b.Admit(key, l)
	_, refusal := b.Admit(key, l)
	assert.Equal(t, refusal, Refusal{Reason: Rate, RetryAfter: 250 * time.Millisecond})
	clk.T += refusal.RetryAfter
	_, refusal = b.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
	pass.Refund()
	_, refusal = b.Admit(key, l)
	assert.Equal(t, refusal.Reason, Reason(""))
}

func TestLendKnowsOnlyCustomersOfTheLists(t *testing.T) {
	b, _ := newBook(t)
	assert.Assert(t, b.Lend(key, share.RequestID{Number: 1}, 5) > 0)
	assert.Equal(t, b.Lend(Key{Customer: "nobody", Service: "stock"}, share.RequestID{Number: 2}, 5), 0.0)
	assert.Equal(t, b.Lend(Key{Customer: "shipping-agents", Service: "none"}, share.RequestID{Number: 3}, 5), 0.0)
	assert.Equal(t, b.Accounts(), 1)
}

func TestGrantThatComesTooLateIsDropped(t *testing.T) {
	b, clk := newBook(t)
	l, _ := b.limits.Load().of(key)
	for range int(l.RateLimit.Burst) {
		pass, refusal := b.Admit(key, l)
		assert.Equal(t, refusal.Reason, Reason(""))
		pass.Release()
	}
	sent, _ := b.want(key)
	_, refusal := b.Admit(key, l)
	assert.Equal(t, refusal.Reason, Rate)
	clk.T += share.TransferTimeout
	before := b.shardOf(key).accounts[key].bucket.Tokens(clk.T)
	b.receive(key, sent, 50)
	assert.Equal(t, b.shardOf(key).accounts[key].bucket.Tokens(clk.T), before)
}

func TestBookForgetsIdleAccountsThatAreFull(t *testing.T) {
	b, clk := newBook(t)
	l := Limit{RateLimit: share.RateLimit{Rate: 100, Burst: 1}, Concurrency: 10}
	const rounds, customers = 20, 50 * shardCount
	for round := range rounds {
		for i := range customers {
			pass, refusal := b.Admit(Key{Customer: fmt.Sprint(round, "-", i), Service: "stock"}, l)
			assert.Equal(t, refusal.Reason, Reason(""))
			pass.Release()
		}
		clk.T += time.Minute
	}
	assert.Assert(t, b.Accounts() < 4*customers, "%d accounts", b.Accounts())
}

func BenchmarkAdmit(b *testing.B) {
	book := NewAccountTable(clock.Boot{})
	l := Limit{RateLimit: share.RateLimit{Rate: 1e9, Burst: 1e9}, Concurrency: 1 << 30}
	time.Sleep(book.AccrualDelay())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			pass, refusal := book.Admit(key, l)
			if refusal.Reason == "" {
				pass.Release()
			}
		}
	})
}
