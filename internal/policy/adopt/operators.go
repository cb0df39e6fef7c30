// Package adopt decides which versions of the lists come in force. It is pure:
// it holds candidates, and its caller says when one arrives.
package adopt

import (
	"fmt"
	"slices"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// maxWaiting bounds the candidates of one list that wait for their partner.
const maxWaiting = 3

// Candidate is one parsed version of an operators' list.
type Candidate[T any] struct {
	// Version is the list's version.
	Version uint64
	// List is the parsed list and Body its text.
	List *T
	Body []byte
	// Compared says that some entry compared the list with an older one before
	// it came in force there, so that its loss of lines is not checked again.
	Compared bool
}

// OperatorLists holds the plans and allowances in force and the candidates for
// them. The lists in force always pass lists.CrossCheck, and their versions never
// decrease. The zero value holds no lists.
type OperatorLists struct {
	plans      queue[lists.Plans]
	allowances queue[lists.Allowances]
}

type queue[T any] struct {
	inForce *Candidate[T]
	waiting []Candidate[T] // newest first
}

// OfferPlans adds a candidate and reports whether it is news.
func (o *OperatorLists) OfferPlans(c Candidate[lists.Plans]) bool { return o.plans.offer(c) }

// OfferAllowances adds a candidate and reports whether it is news.
func (o *OperatorLists) OfferAllowances(c Candidate[lists.Allowances]) bool {
	return o.allowances.offer(c)
}

// Plans returns the plans in force, nil if none are.
func (o *OperatorLists) Plans() *Candidate[lists.Plans] { return o.plans.inForce }

// Allowances returns the allowances in force, nil if none are.
func (o *OperatorLists) Allowances() *Candidate[lists.Allowances] { return o.allowances.inForce }

// AdoptNewest puts the newest consistent pair in force: both newest candidates,
// else the newer plans with the allowances in force, else the reverse, and so on
// through older candidates. It reports whether anything changed.
func (o *OperatorLists) AdoptNewest() bool {
	plans, allowances := o.plans.options(lists.PlansShrink), o.allowances.options(lists.AllowancesShrink)
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
	// NeedsOtherList says that a version of the other list could bring it in force.
	NeedsOtherList bool
}

// PlansWaiting returns the newest plans that are not in force.
func (o *OperatorLists) PlansWaiting() Waiting {
	newest, w := o.plans.newestWaiting(lists.PlansShrink)
	switch {
	case newest == nil || w.Reason != "":
		return w
	case o.allowances.inForce == nil:
		w.Reason = "waits for an allowances list that defines its plans"
	default:
		w.Reason = summary(lists.CrossCheck(string(lists.PlansName), newest.List, o.allowances.inForce.List))
	}
	w.NeedsOtherList = true
	return w
}

// AllowancesWaiting returns the newest allowances that are not in force.
func (o *OperatorLists) AllowancesWaiting() Waiting {
	newest, w := o.allowances.newestWaiting(lists.AllowancesShrink)
	switch {
	case newest == nil || w.Reason != "":
		return w
	case o.plans.inForce == nil:
		w.Reason = "waits for a plans list whose plans it defines"
	default:
		w.Reason = summary(lists.CrossCheck(string(lists.PlansName), o.plans.inForce.List, newest.List))
	}
	w.NeedsOtherList = true
	return w
}

// newestWaiting returns the newest candidate that is not in force, nil if none
// is. The reason is set if the list drops too much.
func (q *queue[T]) newestWaiting(check func(previous, next *T) string) (*Candidate[T], Waiting) {
	if len(q.waiting) == 0 {
		return nil, Waiting{}
	}
	newest := &q.waiting[0]
	return newest, Waiting{Version: newest.Version, Reason: q.shrink(*newest, check)}
}

func summary(faults []error) string {
	if len(faults) == 0 {
		return ""
	}
	if len(faults) == 1 {
		return faults[0].Error()
	}
	return fmt.Sprintf("%v (and %d more)", faults[0], len(faults)-1)
}

func (q *queue[T]) offer(c Candidate[T]) bool {
	if q.inForce != nil && c.Version <= q.inForce.Version {
		return false
	}
	i, found := slices.BinarySearchFunc(q.waiting, c, func(a, b Candidate[T]) int {
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
		news := c.Compared && !q.waiting[i].Compared
		q.waiting[i].Compared = q.waiting[i].Compared || c.Compared
		return news
	}
	q.waiting = slices.Insert(q.waiting, i, c)
	q.waiting = q.waiting[:min(len(q.waiting), maxWaiting)]
	return true
}

// options returns the versions that may come in force, newest first; the one in
// force is last.
func (q *queue[T]) options(shrink func(previous, next *T) string) []Candidate[T] {
	var all []Candidate[T]
	for _, c := range q.waiting {
		if q.shrink(c, shrink) == "" {
			all = append(all, c)
		}
	}
	if q.inForce != nil {
		all = append(all, *q.inForce)
	}
	return all
}

func (q *queue[T]) shrink(c Candidate[T], check func(previous, next *T) string) string {
	if q.inForce == nil || c.Compared {
		return ""
	}
	return check(q.inForce.List, c.List)
}

// adopt puts a candidate in force and reports whether that is a change.
func (q *queue[T]) adopt(c Candidate[T]) bool {
	if q.inForce != nil && q.inForce.Version == c.Version {
		return false
	}
	c.Compared = c.Compared || q.inForce != nil
	q.inForce = &c
	q.waiting = slices.DeleteFunc(q.waiting, func(w Candidate[T]) bool { return w.Version <= c.Version })
	return true
}
