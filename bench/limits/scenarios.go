package limits

import (
	"fmt"
	"time"
)

const (
	entries = 13
	// stockSlots is the slots of the 15 servers for container stock lookups.
	stockSlots = 90
	stockWork  = 10 * time.Millisecond
	// movesSlots is the slots of the 6 servers for move bookings.
	movesSlots = 36
	movesWork  = 20 * time.Millisecond
	// historySlots is the slots of the 13 servers for yard history.
	historySlots = 78
	historyWork  = 500 * time.Millisecond
	// customers is the number of customers of a service.
	customers = 20
	// burstTime is the time in which the rate makes up a burst.
	burstTime = 500 * time.Millisecond
	// overcommit is that of the entries' admission.
	overcommit = 2
)

// noisyName is the customer that becomes noisy.
const noisyName = "stock-0"

func others(c customerModel) bool { return c.name != noisyName }

func bookings(c customerModel) bool { return c.service == movesService }

const (
	movesService   = 0
	historyService = 1
)

// stockModel has lookups of customers that together may use what the servers
// can run and each offer calmShare of that.
func stockModel(seed uint64, length time.Duration) *fleetModel {
	m := &fleetModel{seed: seed, length: length, entries: entries, overcommit: overcommit, skew: 1}
	m.addService("stock", serviceModel{slots: stockSlots, work: stockWork}, calmShare, 1)
	return m
}

// historyModel has bookings at calmShare of their capacity beside yard history
// at three times its own or at none.
func historyModel(seed uint64, length time.Duration, saturated bool) *fleetModel {
	m := &fleetModel{seed: seed, length: length, entries: entries, overcommit: overcommit, skew: 1, unlimited: true}
	m.addService("moves", serviceModel{slots: movesSlots, work: movesWork}, calmShare, 1)
	if saturated {
		m.addService("history", serviceModel{slots: historySlots, work: historyWork}, 3, 9)
	}
	return m
}

// addService adds a service and its customers, each of which offers the given
// part of an equal share of what the service can run.
func (m *fleetModel) addService(name string, s serviceModel, offered float64, priority int) {
	m.services = append(m.services, s)
	each := float64(s.slots) / s.work.Seconds() / customers
	for i := range customers {
		m.customers = append(m.customers, customerModel{
			name: fmt.Sprintf("%s-%d", name, i), service: len(m.services) - 1,
			offered: offered * each, rate: each, burst: each * burstTime.Seconds(), priority: priority,
		})
	}
}
