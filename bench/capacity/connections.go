package capacity

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// connectionSteps are the numbers of idle connections at which an entry's memory
// is read.
var connectionSteps = []int{1000, 3000, 6000}

const acceptTime = 2 * time.Second

// connections measures the memory of an idle connection from a caller.
func connections(ctx context.Context, binary string) ([]report.Line, error) {
	fleet, err := standin.StartFleet(ctx, standin.FleetOptions{Entries: 1, Binary: binary, Servers: sharedListeners()})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	entry := fleet.Entries[0]
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	var sizes, values []float64
	for _, n := range connectionSteps {
		for len(open) < n {
			c, err := net.Dial("tcp", entry.Callers)
			if err != nil {
				return nil, errors.WithStack(err)
			}
			open = append(open, c)
		}
		time.Sleep(acceptTime)
		resident, err := residentBytes(entry.PID())
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, float64(n))
		values = append(values, resident)
	}
	return []report.Line{report.Info("capacity.memory.per-connection", fit(sizes, values).per, "B")}, nil
}
