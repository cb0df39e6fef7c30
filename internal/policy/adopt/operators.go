// Package adopt decides which versions of the configuration lists come in force.
// It does no I/O: its caller passes in each version that arrives.
package adopt

import (
	"fmt"
	"slices"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// maxWaiting limits the candidates kept per list, plans or allowances, until a
// consistent version of the other list arrives. The oldest are dropped first.
const maxWaiting = 3

// Candidate is one parsed version of a list that operators edit.
type Candidate[T any] struct {
	// Version is the list's version.
	Version uint64
	// List is the parsed list and Body its text.
	List *T
	Body []byte
	// Compared says that an entry has already checked that this version doesn't drop
	// too many items compared with an older one. For a candidate, that was another
	// entry, and the check is skipped here.
	Compared bool
}

// OperatorLists holds the plans and allowances in force and the candidates for
// them. The lists in force always pass lists.CrossCheck, and their versions never
// decrease. The zero value holds no lists.
type OperatorLists struct {
	plans      listVersions[lists.Plans]
	allowances listVersions[lists.Allowances]
}

// listVersions holds the version of one list in force and newer candidates.
type listVersions[T any] struct {
	inForce *Candidate[T]
	waiting []Candidate[T] // newest first
}

// OfferPlans adds a candidate newer than the version in force. It reports whether
// the candidate's version was new, or its Compared mark was new for that version.
func (o *OperatorLists) OfferPlans(c Candidate[lists.Plans]) bool { return o.plans.offer(c) }

// OfferAllowances does for allowances what OfferPlans does for plans.
func (o *OperatorLists) OfferAllowances(c Candidate[lists.Allowances]) bool {
	return o.allowances.offer(c)
}

// Plans returns the plans in force, nil if none are.
func (o *OperatorLists) Plans() *Candidate[lists.Plans] { return o.plans.inForce }

// Allowances returns the allowances in force, nil if none are.
func (o *OperatorLists) Allowances() *Candidate[lists.Allowances] { return o.allowances.inForce }

// AdoptNewest puts the newest consistent pair in force. Of plans and allowances,
// each ordered from the newest candidate to the version in force, it takes the
// consistent pair with the lowest sum of positions, and of equal sums the one with
// the newer plans. It reports whether anything changed.
func (o *OperatorLists) AdoptNewest() bool {
	plans, allowances := o.plans.adoptable(lists.PlansShrink), o.allowances.adoptable(lists.AllowancesShrink)
	for sum := range len(plans) + len(allowances) - 1 {
		for i := range min(sum+1, len(plans)) {
			j := sum - i
			if j >= len(allowances) || !consistent(plans[i].List, allowances[j].List) {
				continue
			}
			changed := o.plans.adopt(plans[i])
			return o.allowances.adopt(allowances[j]) || changed
		}
	}
	return false
}

// Waiting is a candidate that is not in force.
type Waiting struct {
	// Version is the list's version, 0 if there is no such candidate.
	Version uint64
	// Reason says why it is not in force.
	Reason string
	// NeedsOtherList says that the candidate waits for a version of the other list
	// that it is consistent with.
	NeedsOtherList bool
}

// PlansWaiting returns the newest plans candidate that is not in force.
func (o *OperatorLists) PlansWaiting() Waiting {
	newest, w := o.plans.newestWaiting(lists.PlansShrink)
	switch {
	case newest == nil || w.Reason != "":
		return w
	case o.allowances.inForce == nil:
		w.Reason = "waits for an allowances list that defines its plans"
	default:
		w.Reason = summarizeFaults(lists.CrossCheck(string(lists.PlansName), newest.List, o.allowances.inForce.List))
	}
	w.NeedsOtherList = true
	return w
}

// AllowancesWaiting returns the newest allowances candidate that is not in force.
func (o *OperatorLists) AllowancesWaiting() Waiting {
	newest, w := o.allowances.newestWaiting(lists.AllowancesShrink)
	switch {
	case newest == nil || w.Reason != "":
		return w
	case o.plans.inForce == nil:
		w.Reason = "waits for a plans list whose plans it defines"
	default:
		w.Reason = summarizeFaults(lists.CrossCheck(string(lists.PlansName), o.plans.inForce.List, newest.List))
	}
	w.NeedsOtherList = true
	return w
}

// newestWaiting returns the newest waiting candidate, or nil if there is none. The
// reason is set if the list drops too much.
func (v *listVersions[T]) newestWaiting(checkShrink func(previous, next *T) string) (*Candidate[T], Waiting) {
	if len(v.waiting) == 0 {
		return nil, Waiting{}
	}
	newest := &v.waiting[0]
	return newest, Waiting{Version: newest.Version, Reason: v.shrinkFault(*newest, checkShrink)}
}

// summarizeFaults returns the first fault and the number of the others.
func summarizeFaults(faults []error) string {
	if len(faults) == 0 {
		return ""
	}
	if len(faults) == 1 {
		return faults[0].Error()
	}
	return fmt.Sprintf("%v (and %d more)", faults[0], len(faults)-1)
}

// offer adds a candidate newer than the version in force. It reports whether the
// candidate's version was new, or its Compared mark was new for that version.
func (v *listVersions[T]) offer(c Candidate[T]) bool {
	if v.inForce != nil && c.Version <= v.inForce.Version {
		return false
	}
	i, found := slices.BinarySearchFunc(v.waiting, c, func(a, b Candidate[T]) int {
		switch {
		case a.Version > b.Version:
			return -1
		case a.Version < b.Version:
			return 1
		default:
			return 0
		}
	})
	if found {
		newlyCompared := c.Compared && !v.waiting[i].Compared
		v.waiting[i].Compared = v.waiting[i].Compared || c.Compared
		return newlyCompared
	}
	v.waiting = slices.Insert(v.waiting, i, c)
	v.waiting = v.waiting[:min(len(v.waiting), maxWaiting)]
	return true
}

// adoptable returns the candidates that don't drop too much, newest first, followed
// by the version in force.
func (v *listVersions[T]) adoptable(checkShrink func(previous, next *T) string) []Candidate[T] {
	var all []Candidate[T]
	for _, c := range v.waiting {
		if v.shrinkFault(c, checkShrink) == "" {
			all = append(all, c)
		}
	}
	if v.inForce != nil {
		all = append(all, *v.inForce)
	}
	return all
}

// shrinkFault says what the candidate drops if that is too much compared with the
// version in force, and returns "" otherwise.
func (v *listVersions[T]) shrinkFault(c Candidate[T], checkShrink func(previous, next *T) string) string {
	if v.inForce == nil || c.Compared {
		return ""
	}
	return checkShrink(v.inForce.List, c.List)
}

// adopt puts a candidate in force, drops the candidates that are not newer, and
// reports whether the version in force changed.
func (v *listVersions[T]) adopt(c Candidate[T]) bool {
	if v.inForce != nil && v.inForce.Version == c.Version {
		return false
	}
	c.Compared = c.Compared || v.inForce != nil
	v.inForce = &c
	v.waiting = slices.DeleteFunc(v.waiting, func(w Candidate[T]) bool { return w.Version <= c.Version })
	return true
}
