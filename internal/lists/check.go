package lists

import (
	"fmt"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// CrossCheck reports customers whose plan the allowances list does not define.
// The file name of the plans list is used in faults only.
func CrossCheck(plansFile string, plans *Plans, allowances *Allowances) []error {
	var faults []error
	byName := make(map[string]Customer, len(plans.Customers))
	for _, c := range plans.Customers {
		byName[c.Name] = c
	}
	for _, name := range sortedKeys(byName) {
		customer := byName[name]
		if _, known := allowances.Plans[customer.Plan]; known {
			continue
		}
		where := fmt.Sprintf("%s:%d: customers.%s.plan", plansFile, plans.lines[name], name)
		faults = append(faults, fault.New(fault.List, where, fmt.Sprintf("plan %q is not in the allowances list", customer.Plan),
			"add the plan to the allowances list first or correct the name"))
	}
	return faults
}
