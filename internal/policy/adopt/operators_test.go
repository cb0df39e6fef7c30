package adopt

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// plansOf returns a candidate with one customer for each plan.
func plansOf(version uint64, plans ...string) Candidate[lists.Plans] {
	list := &lists.Plans{Customers: make(map[lists.KeyHash]lists.Customer)}
	for _, plan := range plans {
		hash := lists.HashKey(plan)
		list.Customers[hash] = lists.Customer{Name: "customer-" + plan, Plan: plan, KeyHash: hash}
	}
	return Candidate[lists.Plans]{Version: version, List: list}
}

// allowancesOf returns a candidate that defines the plans.
func allowancesOf(version uint64, plans ...string) Candidate[lists.Allowances] {
	list := &lists.Allowances{Services: map[string]lists.Service{"stock": {}}, Plans: make(map[string]map[string]lists.Allowance)}
	for _, plan := range plans {
		list.Plans[plan] = nil
	}
	return Candidate[lists.Allowances]{Version: version, List: list}
}

// adoptAll offers the candidates in turn and adopts what it can after each.
func adoptAll(candidates ...any) *OperatorLists {
	o := &OperatorLists{}
	for _, c := range candidates {
		switch c := c.(type) {
		case Candidate[lists.Plans]:
			o.OfferPlans(c)
		case Candidate[lists.Allowances]:
			o.OfferAllowances(c)
		}
		for o.AdoptNewest() {
		}
	}
	return o
}

// versionsInForce returns the versions in force, 0 for a list without one.
func versionsInForce(o *OperatorLists) (plans, allowances uint64) {
	if c := o.Plans(); c != nil {
		plans = c.Version
	}
	if c := o.Allowances(); c != nil {
		allowances = c.Version
	}
	return plans, allowances
}

func TestArrivalOrderDoesNotChangeTheResult(t *testing.T) {
	// The second versions rename plan a to b, so neither is consistent with the
	// first version of the other list.
	p1, a1, p2, a2 := plansOf(1, "a"), allowancesOf(1, "a"), plansOf(2, "b"), allowancesOf(2, "b")
	p2.Compared, a2.Compared = true, true
	for _, order := range [][]any{{p1, a1, p2, a2}, {p1, a1, a2, p2}, {p2, a2, p1, a1}, {a2, p1, p2, a1}, {a1, p2, p1, a2}} {
		plans, allowances := versionsInForce(adoptAll(order...))
		assert.Equal(t, plans, uint64(2))
		assert.Equal(t, allowances, uint64(2))
	}
	o := adoptAll(p1, a1, p2)
	plans, allowances := versionsInForce(o)
	assert.Equal(t, plans, uint64(1))
	assert.Equal(t, allowances, uint64(1))
	waiting := o.PlansWaiting()
	assert.Equal(t, waiting.Version, uint64(2))
	assert.Assert(t, waiting.NeedsOtherList)
	assert.Assert(t, strings.Contains(waiting.Reason, `plan "b" is not in the allowances list`), waiting.Reason)
}

func TestShrinkNeedsPermission(t *testing.T) {
	for _, c := range []struct {
		name string
		next Candidate[lists.Plans]
		want uint64
	}{
		{"half lost", plansOf(2, "a", "b"), 2},
		{"more than half lost", plansOf(2, "a"), 1},
		{"more than half renamed", plansOf(2, "a", "x", "y", "z"), 1},
		{"compared elsewhere", func() Candidate[lists.Plans] { p := plansOf(2, "a"); p.Compared = true; return p }(), 2},
		{"allowed", func() Candidate[lists.Plans] { p := plansOf(2, "a"); p.List.AllowShrink = true; return p }(), 2},
	} {
		o := adoptAll(plansOf(1, "a", "b", "c", "d"), allowancesOf(1, "a", "b", "c", "d", "x", "y", "z"), c.next)
		got, _ := versionsInForce(o)
		assert.Equal(t, got, c.want, c.name)
	}
	o := adoptAll(plansOf(1, "a"), allowancesOf(1, "a", "b", "c"), allowancesOf(2, "a"))
	assert.Equal(t, o.AllowancesWaiting().Reason, "the list drops 2 of 3 plans at once; restore them or set allow_shrink = true in [end]")
	// A newer version that drops no more than half comes in force although the
	// version before it was refused.
	assert.Assert(t, o.OfferAllowances(allowancesOf(3, "a", "b")))
	o.AdoptNewest()
	_, got := versionsInForce(o)
	assert.Equal(t, got, uint64(3))
}

// Versions of both lists arrive in random order. The pair in force must always be
// consistent, and neither version in force may decrease.
func TestInForceIsConsistentAndNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string])
		o := &OperatorLists{}
		var lastPlans, lastAllowances uint64
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			version := rapid.Uint64Range(1, 8).Draw(t, "version")
			planNames := names.Draw(t, fmt.Sprint("names", i))
			if rapid.Bool().Draw(t, "plans") {
				o.OfferPlans(plansOf(version, planNames...))
			} else {
				o.OfferAllowances(allowancesOf(version, planNames...))
			}
			for o.AdoptNewest() {
			}
			plans, allowances := versionsInForce(o)
			if plans < lastPlans || allowances < lastAllowances {
				t.Fatalf("the versions in force decreased from plans %d, allowances %d to plans %d, allowances %d", lastPlans, lastAllowances, plans, allowances)
			}
			lastPlans, lastAllowances = plans, allowances
			if (plans == 0) != (allowances == 0) {
				t.Fatalf("only one list is in force: plans %d, allowances %d", plans, allowances)
			}
			if plans > 0 && len(lists.CrossCheck("plans", o.Plans().List, o.Allowances().List)) > 0 {
				t.Fatalf("plans %d and allowances %d are in force but not consistent", plans, allowances)
			}
		}
	})
}
