// Package proof tests the promises of the system against real entry processes.
package proof

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/standin"
)

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "baobabstack-proof-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary, err = standin.BuildBinary(dir, os.Getenv("BAOBAB_TAGS"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startFleet starts entries in front of two stock and two moves servers, unless
// the options name others.
func startFleet(ctx context.Context, t *testing.T, o standin.FleetOptions) *standin.Fleet {
	t.Helper()
	o.Binary = binary
	if o.Servers == nil {
		o.Servers = map[string][]standin.ServerOptions{
			"stock": {sampleServer("stock-1"), sampleServer("stock-2")},
			"moves": {sampleServer("moves-1"), sampleServer("moves-2")},
		}
	}
	fleet, err := standin.StartFleet(ctx, o)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	return fleet
}

func sampleServer(id string) standin.ServerOptions {
	return standin.ServerOptions{ID: id, Slots: 6, Queue: 12, Work: 2 * time.Millisecond}
}
