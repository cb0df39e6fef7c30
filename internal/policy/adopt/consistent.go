package adopt

import (
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
)

// consistent reports whether the allowances define the plan of every customer.
func consistent(plans *lists.Plans, allowances *lists.Allowances) bool {
	if defect.On("config-cross-check") {
		return true
	}
	return len(lists.CrossCheck(string(lists.PlansName), plans, allowances)) == 0
}
