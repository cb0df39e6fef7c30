// Package readers selects the entries that watch the configuration service, the
// readers, so that the rate of reads stays limited for any number of entries. The
// other entries get the lists from peers. The package does no I/O.
package readers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabstack/baobabstack/internal/lists"
)

const (
	// WatchAllUpTo is the number of live VMs up to which all of them watch.
	WatchAllUpTo = 32
	// ReadersPerDataCentre is the number of readers in each data centre of a larger
	// fleet. Any number is safe, because an entry accepts a list by its version and
	// not by who read it.
	ReadersPerDataCentre = 3
	// WatchWait is how long the service may hold a watch request (a long poll) open
	// until there is a newer version.
	WatchWait = 20 * time.Second
	// MaxDigestAge is the age of the last digest from a peer above which an entry
	// that does not watch polls the service itself.
	MaxDigestAge = 10 * time.Second

	// minPollInterval is the shortest time between polls of one list by one entry.
	// maxFleetPollRate limits the polls of all entries together, in reads per second.
	minPollInterval  = 5 * time.Second
	maxFleetPollRate = 500
)

// Select returns the addresses of the readers: all live VMs up to WatchAllUpTo of
// them, else in each data centre the ones with the highest rendezvous hashes.
// Entries with different VM lists may select differently, which adds or removes a
// few readers.
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
			group = highestWeights(group)
		}
		for _, vm := range group {
			chosen[vm.Address] = true
		}
	}
	return chosen
}

// highestWeights returns the VMs of a data centre with the highest weights, at most
// ReadersPerDataCentre. It reorders its argument.
func highestWeights(group []lists.VM) []lists.VM {
	slices.SortFunc(group, func(a, b lists.VM) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return group[:min(len(group), ReadersPerDataCentre)]
}

// weight returns the rendezvous hash of a VM.
func weight(vm lists.VM) uint64 { return xxhash.Sum64String("configuration/" + vm.ID) }

// Watches reports whether the entry with the address watches the service. Up to
// WatchAllUpTo live VMs, an entry that is not in the VM list yet watches too.
func Watches(address string, vms []lists.VM) bool {
	live := 0
	for _, vm := range vms {
		if vm.State == lists.Live {
			live++
		}
	}
	return live <= WatchAllUpTo || Select(vms)[address]
}

// PollInterval returns the time between polls of one list by an entry that does
// not watch and gets no digests, in a fleet of this many VMs.
func PollInterval(vms int) time.Duration {
	interval := time.Duration(vms*len(lists.Names())) * time.Second / maxFleetPollRate
	return max(minPollInterval, interval)
}

// ReadsPerSecond returns the reads per second of the whole fleet while no list
// changes and the service answers. Each watch request counts as one read.
func ReadsPerSecond(vms []lists.VM) float64 {
	return float64(len(Select(vms))*len(lists.Names())) / WatchWait.Seconds()
}
