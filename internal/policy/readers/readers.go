// Package readers decides which entries watch the configuration service, so
// that its reads stay bounded for any number of entries. It is pure.
package readers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabstack/baobabstack/internal/lists"
)

const (
	// WatchAllUpTo is the number of live VMs up to which each one watches.
	WatchAllUpTo = 32
	// ReadersPerDataCentre is the number of readers of a data centre in larger fleets.
	// Any number is safe: versions decide, not readers.
	ReadersPerDataCentre = 3
	// WatchWait is how long a read waits at the service for a newer version.
	WatchWait = 20 * time.Second
	// MaxDigestAge is how long an entry that does not watch goes without a peer's
	// digest before it reads the service itself.
	MaxDigestAge = 10 * time.Second

	// pollMin is the shortest time between reads of one list by an entry that
	// does not watch, and pollRate bounds such reads of the whole fleet, in reads
	// a second.
	pollMin  = 5 * time.Second
	pollRate = 500
)

// Select returns the addresses of the readers by rendezvous hashing: in each data
// centre the live VMs with the highest hashes. Entries with different lists may
// choose differently, which adds or removes a few readers.
func Select(vms []lists.VM) map[string]bool {
	byDataCentre := make(map[string][]lists.VM)
	live := 0
	for _, vm := range vms {
		if vm.State == lists.Live {
			byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], vm)
			live++
		}
	}
	chosen := make(map[string]bool)
	for _, group := range byDataCentre {
		if live > WatchAllUpTo {
			group = highest(group)
		}
		for _, vm := range group {
			chosen[vm.Address] = true
		}
	}
	return chosen
}

func highest(group []lists.VM) []lists.VM {
	slices.SortFunc(group, func(a, b lists.VM) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return group[:min(len(group), ReadersPerDataCentre)]
}

func weight(vm lists.VM) uint64 { return xxhash.Sum64String("configuration/" + vm.ID) }

// Watches reports whether the entry with the address watches the service. Up to
// WatchAllUpTo live VMs, one that its list does not name yet watches too.
func Watches(address string, vms []lists.VM) bool {
	live := 0
	for _, vm := range vms {
		if vm.State == lists.Live {
			live++
		}
	}
	return live <= WatchAllUpTo || Select(vms)[address]
}

// PollInterval returns the time between reads of one list by an entry that does not
// watch and gets no digests.
func PollInterval(vms int) time.Duration {
	spread := time.Duration(vms*len(lists.Names())) * time.Second / pollRate
	return max(pollMin, spread)
}

// ReadsPerSecond returns the reads a second of the whole fleet while nothing
// changes and the service answers. A waiting watch counts as one read.
func ReadsPerSecond(vms []lists.VM) float64 {
	return float64(len(Select(vms))*len(lists.Names())) / WatchWait.Seconds()
}
