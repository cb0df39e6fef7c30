package readers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// maxServiceReads is the capacity of the configuration service, in reads per second.
const maxServiceReads = 2000

func fleet(n, dataCentres int) []lists.VM {
	var vms []lists.VM
	for i := range n {
		vms = append(vms, lists.VM{
			ID: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), State: lists.Live,
		})
	}
	return vms
}

func TestReadsPerSecond(t *testing.T) {
	// 17 entries all watch 4 lists; 300 entries in 10 data centres have 30
	// readers. Each watch makes one read every 20 s.
	assert.Equal(t, ReadsPerSecond(fleet(17, 3)), 17*4/20.0)
	assert.Equal(t, ReadsPerSecond(fleet(300, 10)), 30*4/20.0)
}

// If no entry receives digests, all that do not watch poll. Watches and polls
// together must not exceed the capacity of the service for any size of the fleet.
func TestPollsStayInsideTheServiceRate(t *testing.T) {
	for _, n := range []int{17, 33, 300, 3400, 100_000} {
		reads := float64(n*len(lists.Names())) / PollInterval(n).Seconds()
		assert.Assert(t, reads+ReadsPerSecond(fleet(n, 10)) < maxServiceReads, "%d entries: %f reads per second", n, reads)
	}
	assert.Equal(t, PollInterval(17), 5*time.Second)
}

func TestEachDataCentreHasReaders(t *testing.T) {
	vms := fleet(300, 10)
	chosen := Select(vms)
	perDataCentre := make(map[string]int)
	for _, vm := range vms {
		if chosen[vm.Address] {
			perDataCentre[vm.DataCentre]++
		}
		assert.Equal(t, Watches(vm.Address, vms), chosen[vm.Address])
	}
	assert.Equal(t, len(perDataCentre), 10)
	for name, n := range perDataCentre {
		assert.Equal(t, n, ReadersPerDataCentre, name)
	}
	assert.Assert(t, Watches("10.9.9.9:7000", fleet(32, 1)))
	assert.Assert(t, !Watches("10.9.9.9:7000", vms))
}

// When a reader leaves, one other VM must replace it and all others keep their role.
func TestLeavingReaderIsReplacedByOne(t *testing.T) {
	vms := fleet(300, 10)
	before := Select(vms)
	for i := range vms {
		if before[vms[i].Address] {
			vms[i].State = lists.Leaving
			break
		}
	}
	after := Select(vms)
	added := 0
	for address := range after {
		if !before[address] {
			added++
		}
	}
	assert.Equal(t, added, 1)
	assert.Equal(t, len(after), len(before))
}
