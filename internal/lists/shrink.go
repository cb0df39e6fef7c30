package lists

import "fmt"

// PlansShrink returns a description of what the next list drops if that is more
// than half of the customers and the list does not allow it; "" otherwise.
func PlansShrink(previous, next *Plans) string {
	if previous == nil || next.AllowShrink {
		return ""
	}
	return lost("customers", customerNames(previous), customerNames(next))
}

// AllowancesShrink returns a description of what the next list drops if that is
// more than half of the services or plans and the list does not allow it; ""
// otherwise.
func AllowancesShrink(previous, next *Allowances) string {
	if previous == nil || next.AllowShrink {
		return ""
	}
	if s := lost("services", previous.Services, next.Services); s != "" {
		return s
	}
	return lost("plans", previous.Plans, next.Plans)
}

func customerNames(p *Plans) map[string]bool {
	names := make(map[string]bool, len(p.Customers))
	for _, c := range p.Customers {
		names[c.Name] = true
	}
	return names
}

func lost[V any](what string, previous, next map[string]V) string {
	gone := 0
	for name := range previous {
		if _, kept := next[name]; !kept {
			gone++
		}
	}
	if 2*gone <= len(previous) {
		return ""
	}
	return fmt.Sprintf("the list drops %d of %d %s at once; restore them or set allow_shrink = true in [end]", gone, len(previous), what)
}
