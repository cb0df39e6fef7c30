package discovery

import (
	"cmp"
	"strconv"
)

// Revision is a point in the store's history. When the store comes back from a copy, its counter
// of changes goes back and numbers are given out again; the era tells them apart.
type Revision struct {
	// Era rises each time the store comes back from a copy. It is 0 if it isn't known.
	Era uint64
	// Number is the store's counter of changes.
	Number uint64
}

// Compare returns a negative number if r is older than other, 0 if they are the same, and a
// positive number if r is newer.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// latest returns the newer of two revisions.
func latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the era and the number, as in "2:17".
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + ":" + strconv.FormatUint(r.Number, 10)
}
