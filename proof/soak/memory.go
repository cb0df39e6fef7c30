package soak

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// memoryInterval is the interval at which the memory of the gateways' processes is read.
const memoryInterval = 200 * time.Millisecond

// watchMemory checks that the process of a gateway stays within the memory of its VM, by the
// most that it has ever had resident.
func (s *Soak) watchMemory(ctx context.Context, g *gatewayNode) {
	var over time.Time // the process that a violation was noted for
	for ctx.Err() == nil {
		time.Sleep(memoryInterval)
		g.mu.Lock()
		started, process := g.started, g.process.Process.Pid
		g.mu.Unlock()
		peak, err := peakMemory(process)
		if err != nil {
			continue // the process has just ended
		}
		s.notePeak(peak)
		if peak > s.memory && !over.Equal(started) {
			over = started
			s.violation("", "the process of %s took %d MB of memory, its VM has %d MB", g.id, peak, s.memory)
		}
	}
}

func (s *Soak) notePeak(megabytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak = max(s.peak, megabytes)
}

// peakMemory returns the most memory that a process has had resident, in MB.
func peakMemory(pid int) (int, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = f.Close() }()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var kilobytes int
		if n, _ := fmt.Sscanf(scanner.Text(), "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10, nil
		}
		if strings.HasPrefix(scanner.Text(), "State:\tZ") {
			break // it has ended
		}
	}
	return 0, errors.Errorf("no VmHWM of process %d", pid)
}

// machineMemory returns the machine's memory in MB.
func machineMemory() (int, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var kilobytes int
	if _, err := fmt.Sscanf(string(data), "MemTotal: %d kB", &kilobytes); err != nil {
		return 0, errors.Wrap(err, "read MemTotal")
	}
	return kilobytes >> 10, nil
}
