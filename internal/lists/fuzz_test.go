package lists_test

import (
	"testing"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
)

var seeds = []string{
	"", "[end]", "[end]\ncustomers = 0", "\x00", "[[customers]]", "customers = []",
	"[customers.a]\nplan = \"\"\nkey_hash = \"sha256:\"\n[end]\ncustomers = 1",
	"entries = -1\n[services.a]\n[plans.p.a]\nrate = nan\nburst = inf\ndeadline = \"-1s\"\n[end]\nservices = 1\nplans = 1",
	`{"servers":[{"id":"a","service":"s","address":"[::1]:1","state":"leaving"}]}`, `{"servers":null} {}`,
	`{"vms":[{"id":"","address":"1","state":"x"},{"id":""}]}`, `{"vms":[]}x`, `{"vms":1}`,
}

// fuzz checks that a parser returns either a list or faults.
func fuzz[T any](f *testing.F, sample []byte, parse func(string, []byte) (*T, []error), check func(*testing.T, *T)) {
	f.Helper()
	f.Add(sample)
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, faults := parse("list", data)
		if (list == nil) == (len(faults) == 0) {
			t.Fatalf("list %v with faults %v", list, faults)
		}
		if list != nil {
			check(t, list)
		}
	})
}

func FuzzParsePlans(f *testing.F) {
	fuzz(f, standin.SamplePlans(), lists.ParsePlans, func(t *testing.T, list *lists.Plans) {
		for hash, customer := range list.Customers {
			if customer.KeyHash != hash || customer.Plan == "" {
				t.Fatalf("customer %+v under %s", customer, hash)
			}
		}
	})
}

func FuzzParseAllowances(f *testing.F) {
	fuzz(f, standin.SampleAllowances(), lists.ParseAllowances, func(t *testing.T, list *lists.Allowances) {
		for name, service := range list.Services {
			if list.Entries < 1 || service.Connections < list.Entries || service.Slots < 1 || !(service.ProbesPerSecond >= 0) {
				t.Fatalf("service %s: %+v of %d entries", name, service, list.Entries)
			}
		}
		for _, plan := range list.Plans {
			for name, a := range plan {
				if _, known := list.Services[name]; !known || !(a.Rate > 0) || a.Concurrency < list.Entries || a.Deadline <= 0 {
					t.Fatalf("allowance for %s: %+v", name, a)
				}
			}
		}
	})
}

func FuzzParseServers(f *testing.F) {
	sample := standin.SampleServers([]lists.Server{{ID: "a", Service: "s", Address: "127.0.0.1:1", State: lists.Live}})
	fuzz(f, sample, lists.ParseServers, func(t *testing.T, list *lists.Servers) {
		for _, s := range list.Servers {
			checkMember(t, s.ID, s.State)
		}
	})
}

func FuzzParseVMs(f *testing.F) {
	sample := standin.SampleVMs([]lists.VM{{ID: "a", Address: "127.0.0.1:1", State: lists.Live}})
	fuzz(f, sample, lists.ParseVMs, func(t *testing.T, list *lists.VMs) {
		for _, vm := range list.VMs {
			checkMember(t, vm.ID, vm.State)
		}
	})
}

func checkMember(t *testing.T, id string, state lists.State) {
	t.Helper()
	if id == "" || (state != lists.Live && state != lists.Leaving) {
		t.Fatalf("member %q in state %q", id, state)
	}
}
