//go:build defects

package defect

import "os"

// Variable is the environment variable that names the defect to switch on.
const Variable = "BAOBAB_DEFECT"

var enabled = os.Getenv(Variable)

// On reports whether the named defect is switched on.
func On(name string) bool { return enabled == name }
