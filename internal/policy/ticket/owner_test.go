package ticket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

func testConfig() Config {
	return Config{
		VM: "vm-1", Incarnation: Incarnation{1}, Key: []byte("key"), Lifetime: time.Minute,
		Window: 4, MaxRunning: 2, MaxAnswerBytes: 10,
	}
}

func request(name string) Fingerprint { return FingerprintOf([]byte(name)) }

func TestTicketRunsOnceAndReplays(t *testing.T) {
	o := NewOwner[string](testConfig())
	text := o.Mint("agents", 0)
	d := o.Spend(text, "agents", request("a"), time.Second)
	assert.Equal(t, d.Action, Run)
	assert.Equal(t, o.Spend(text, "agents", request("a"), time.Second).Action, Join)
	assert.Equal(t, o.Spend(text, "agents", request("b"), time.Second).Reason, OtherRequest)
	o.Finish(d.Sequence, outcome.Answered, "yes", 3)
	again := o.Spend(text, "agents", request("a"), time.Hour)
	assert.Equal(t, again.Action, Replay)
	assert.Equal(t, again.Answer, "yes")
	assert.Equal(t, o.Spend(text, "agents", request("b"), time.Hour).Reason, OtherRequest)
	other := o.Spend(text, "clerks", request("a"), time.Second)
	assert.Equal(t, other.Action, Refuse)
	assert.Equal(t, other.Reason, OtherCustomer)
	assert.Equal(t, other.Outcome, outcome.Unknown)
}

func TestNotRunVoidsTheTicket(t *testing.T) {
	o := NewOwner[string](testConfig())
	for name, refused := range map[string]func(text string) Decision[string]{
		"expired": func(text string) Decision[string] { return o.Spend(text, "agents", request("a"), time.Hour) },
		"leaving": func(text string) Decision[string] { return o.Refuse(text, "agents", request("a"), Leaving) },
		"server did not run it": func(text string) Decision[string] {
			d := o.Spend(text, "agents", request("a"), 0)
			o.Finish(d.Sequence, outcome.NotRun, "no", 2)
			return refuse[string](outcome.NotRun, Voided)
		},
	} {
		text := o.Mint("agents", 0)
		assert.Equal(t, refused(text).Outcome, outcome.NotRun, name)
		assert.Assert(t, o.Spend(text, "agents", request("a"), 0).Action != Run, name)
		assert.Assert(t, o.Spend(text, "agents", request("b"), 0).Action != Run, name)
	}
}

func TestFullOwnerRefusesBeforeSpending(t *testing.T) {
	o := NewOwner[string](testConfig())
	for range 2 {
		assert.Equal(t, o.Spend(o.Mint("agents", 0), "agents", request("a"), 0).Action, Run)
	}
	text := o.Mint("agents", 0)
	d := o.Spend(text, "agents", request("a"), 0)
	assert.Equal(t, d.Reason, TooManyRunning)
	assert.Equal(t, d.Outcome, outcome.NotRun)
	o.Finish(1, outcome.Answered, "", 0)
	assert.Equal(t, o.Spend(text, "agents", request("a"), 0).Reason, Voided)
}

func TestForgedAndForeignTicketsAreUnknown(t *testing.T) {
	o := NewOwner[string](testConfig())
	text := o.Mint("agents", 0)
	forged := encode(ID{Owner: "vm-1", Incarnation: Incarnation{1}, Sequence: 1, Customer: "agents"}, []byte("guess"))
	next := testConfig()
	next.Incarnation = Incarnation{2}
	replaced := NewOwner[string](next)
	replaced.Mint("agents", 0)
	for _, c := range []struct {
		owner  *Owner[string]
		text   string
		reason Reason
	}{
		{o, "", Invalid},
		{o, text[:len(text)-2], Invalid},
		{o, text + "AA", Invalid},
		{o, forged, Invalid},
		{replaced, text, OwnerGone},
	} {
		d := c.owner.Spend(c.text, "agents", request("a"), 0)
		assert.Equal(t, d.Reason, c.reason)
		assert.Equal(t, d.Outcome, outcome.Unknown)
	}
	assert.Equal(t, o.Spend(text, "agents", request("a"), 0).Action, Run)
}

func TestEvictedAnswerLeavesTheOutcome(t *testing.T) {
	o := NewOwner[string](testConfig())
	first := o.Mint("agents", 0)
	d := o.Spend(first, "agents", request("a"), 0)
	o.Finish(d.Sequence, outcome.Answered, "12345678", 8)
	second := o.Mint("agents", 0)
	d = o.Spend(second, "agents", request("a"), 0)
	o.Finish(d.Sequence, outcome.Answered, "12345678", 8)
	assert.Equal(t, o.Spend(first, "agents", request("a"), 0).Reason, AnswerNotKept)
	assert.Equal(t, o.Spend(first, "agents", request("b"), 0).Reason, OtherRequest)
	assert.Equal(t, o.Spend(second, "agents", request("a"), 0).Action, Replay)
	for range 4 {
		o.Mint("agents", 0)
	}
	assert.Equal(t, o.Spend(second, "agents", request("a"), 0).Reason, Expired)
	assert.Equal(t, len(o.records), 0)
	assert.Equal(t, o.keptBytes, 0)
}

// TestTicketsUnderRandomUse checks, for random sequences of operations, that a
// ticket's call runs at most once, that a call reported as not run never runs and
// that memory use stays within its limits.
func TestTicketsUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOwner[string](testConfig())
		var texts []string
		var now time.Duration
		runs, reportedNotRun, inFlight := map[string]int{}, map[string]bool{}, map[uint64]string{}
		recordDecision := func(text string, d Decision[string]) {
			switch {
			case d.Action == Run:
				runs[text]++
				inFlight[d.Sequence] = text
			case d.Action == Refuse && d.Outcome == outcome.NotRun:
				reportedNotRun[text] = true
			case d.Action == Replay && d.Answer != text:
				t.Fatalf("replayed the answer of another ticket")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(*rapid.T) { texts = append(texts, o.Mint("agents", now)) },
			"spend": func(t *rapid.T) {
				if len(texts) == 0 {
					t.Skip("no ticket")
				}
				text := rapid.SampledFrom(texts).Draw(t, "ticket")
				f := request(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "request"))
				if rapid.Bool().Draw(t, "refuse") {
					recordDecision(text, o.Refuse(text, "agents", f, Leaving))
					return
				}
				recordDecision(text, o.Spend(text, "agents", f, now))
			},
			"finish": func(t *rapid.T) {
				for sequence, text := range inFlight {
					result := rapid.SampledFrom([]outcome.Outcome{outcome.Answered, outcome.NotRun, outcome.Unknown}).Draw(t, "outcome")
					o.Finish(sequence, result, text, rapid.IntRange(0, 12).Draw(t, "size"))
					delete(inFlight, sequence)
					if result == outcome.NotRun {
						runs[text]--
						reportedNotRun[text] = true
					}
					return
				}
				t.Skip("no running call")
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 50).Draw(t, "s")) * time.Second },
			"": func(t *rapid.T) {
				for text, n := range runs {
					if n > 1 || (n > 0 && reportedNotRun[text]) {
						t.Fatalf("call ran %d times; reported as not run: %v", n, reportedNotRun[text])
					}
				}
				if o.keptBytes > 10 || o.keptBytes < 0 || o.running != len(inFlight) || len(o.records) > 4+2 {
					t.Fatalf("stored bytes %d, running calls %d, records %d", o.keptBytes, o.running, len(o.records))
				}
			},
		})
	})
}

func FuzzParse(f *testing.F) {
	o := NewOwner[string](testConfig())
	f.Add(o.Mint("agents", time.Second))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		d := o.Spend(text, "agents", request("a"), 0)
		if err != nil && d.Reason != Invalid {
			t.Fatalf("malformed ticket %v was not refused as invalid: %v", id, d)
		}
	})
}

func BenchmarkMint(b *testing.B) {
	c := testConfig()
	c.Window = 1 << 18
	o := NewOwner[string](c)
	b.ReportAllocs()
	for b.Loop() {
		o.Mint("shipping-agents", time.Second)
	}
}

func BenchmarkSpendAndFinish(b *testing.B) {
	c := testConfig()
	c.Window, c.MaxAnswerBytes = 1<<18, 1<<20
	o := NewOwner[string](c)
	f := request("a")
	b.ReportAllocs()
	for b.Loop() {
		d := o.Spend(o.Mint("shipping-agents", 0), "shipping-agents", f, 0)
		o.Finish(d.Sequence, outcome.Answered, "booked", 512)
	}
}
