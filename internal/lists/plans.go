package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// KeyHash is the SHA-256 hash of a customer's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a customer's key is listed.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the form used in the plans list: sha256: and hex digits.
func (h KeyHash) String() string { return keyHashPrefix + hex.EncodeToString(h[:]) }

const keyHashPrefix = "sha256:"

// Customer is one customer of the plans list.
type Customer struct {
	// Name identifies the customer.
	Name string
	// Plan names the customer's plan in the allowances list.
	Plan string
	// KeyHash is the hash of the key that the customer's callers send.
	KeyHash KeyHash
}

// Plans is the checked plans list.
type Plans struct {
	// Customers holds every customer by key hash.
	Customers map[KeyHash]Customer
	// AllowShrink lets the list drop more than half of the customers at once.
	AllowShrink bool
	lines       map[string]int
}

type plansFile struct {
	Customers map[string]customerEntry `toml:"customers"`
	End       *plansEnd                `toml:"end"`
}

type customerEntry struct {
	Plan    string `toml:"plan"`
	KeyHash string `toml:"key_hash"`
}

type plansEnd struct {
	Customers   int  `toml:"customers"`
	AllowShrink bool `toml:"allow_shrink"`
}

// ParsePlans decodes and checks a plans list. The file name is used in faults
// only. All faults found are returned.
func ParsePlans(file string, data []byte) (*Plans, []error) {
	var raw plansFile
	p := NewPlace(fault.List, file, data)
	if faults := decodeTOML(p, data, &raw); len(faults) > 0 {
		return nil, faults
	}
	if raw.End == nil {
		return nil, []error{p.Fault("end", "the [end] table is missing, so the list may be truncated",
			"finish the list with [end] and customers = the number of customers")}
	}
	if len(raw.Customers) == 0 {
		return nil, []error{p.Fault("customers", "the list names no customer", "restore the customers; an empty list is never applied")}
	}
	if raw.End.Customers != len(raw.Customers) {
		return nil, []error{p.Fault("end.customers", fmt.Sprintf("is %d but the list names %d customers", raw.End.Customers, len(raw.Customers)),
			"restore the missing customers or correct the number")}
	}
	return buildPlans(p, raw)
}

func buildPlans(p Place, raw plansFile) (*Plans, []error) {
	plans := &Plans{
		Customers:   make(map[KeyHash]Customer, len(raw.Customers)),
		AllowShrink: raw.End.AllowShrink,
		lines:       make(map[string]int, len(raw.Customers)),
	}
	var faults []error
	for _, name := range sortedKeys(raw.Customers) {
		entry := raw.Customers[name]
		key := "customers." + name
		plans.lines[name] = p.line(key)
		hash, ok := parseKeyHash(entry.KeyHash)
		if !ok {
			faults = append(faults, p.Fault(key+".key_hash", "is not sha256: followed by 64 hex digits", "write the output of `baobabstack hash-key`"))
			continue
		}
		if entry.Plan == "" {
			faults = append(faults, p.Fault(key+".plan", "is missing", "name a plan of the allowances list"))
			continue
		}
		if other, dup := plans.Customers[hash]; dup {
			faults = append(faults, p.Fault(key+".key_hash", "is also the key of customer "+other.Name, "give each customer a key of its own"))
			continue
		}
		plans.Customers[hash] = Customer{Name: name, Plan: entry.Plan, KeyHash: hash}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return plans, nil
}

func parseKeyHash(s string) (KeyHash, bool) {
	var hash KeyHash
	digits, ok := strings.CutPrefix(s, keyHashPrefix)
	if !ok {
		return hash, false
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != len(hash) {
		return hash, false
	}
	copy(hash[:], raw)
	return hash, true
}
