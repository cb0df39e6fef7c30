package hop

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// busyShare of the machine that other processes use makes the tail of a latency
// say more about them than about an entry.
const busyShare = 0.1

// usage is what the machine and this process have used so far.
type usage struct {
	machine machineTime
	self    time.Duration
}

func readUsage() (usage, error) {
	machine, err := readMachineTime()
	if err != nil {
		return usage{}, err
	}
	self, err := processorTime(os.Getpid())
	return usage{machine, self}, err
}

// machineTime is what all processors have done since the machine's start.
type machineTime struct{ busy, idle time.Duration }

// readMachineTime reads the kernel's count.
func readMachineTime() (machineTime, error) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return machineTime{}, errors.WithStack(err)
	}
	return parseMachineTime(data)
}

// parseMachineTime reads the first line of /proc/stat: user, nice, system, idle,
// iowait, irq, softirq and steal, in ticks.
func parseMachineTime(data []byte) (machineTime, error) {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	fields := strings.Fields(string(line))
	if len(fields) < 9 || fields[0] != "cpu" {
		return machineTime{}, errors.Errorf("/proc/stat begins with %q", line)
	}
	var m machineTime
	for i, field := range fields[1:9] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return machineTime{}, errors.Wrap(err, "/proc/stat")
		}
		spent := time.Duration(ticks) * time.Second / ticksPerSecond
		if i == 3 || i == 4 {
			m.idle += spent
		} else {
			m.busy += spent
		}
	}
	return m, nil
}

// othersShare returns the share of the machine that processes used between two
// moments, without the time that the measured ones used.
func othersShare(before, after machineTime, own time.Duration) float64 {
	busy := after.busy - before.busy
	total := busy + after.idle - before.idle
	if total <= 0 {
		return 0
	}
	return max(0, float64(busy-own)/float64(total))
}
