package hop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOthersShareLeavesOutTheMeasuredProcesses(t *testing.T) {
	before, err := parseMachineTime([]byte("cpu  100 0 100 1000 0 0 0 0 0 0\ncpu0 1 2 3 4\n"))
	assert.NilError(t, err)
	after, err := parseMachineTime([]byte("cpu  500 0 200 1400 100 0 0 0 0 0\n"))
	assert.NilError(t, err)
	// 5 s busy and 5 s idle.
	assert.Equal(t, othersShare(before, after, 4*time.Second), 0.1)
	assert.Equal(t, othersShare(before, after, 0), 0.5)
	assert.Equal(t, othersShare(before, after, 6*time.Second), 0.0, "ticks are coarse")
	assert.Equal(t, othersShare(before, before, 0), 0.0)
}

func TestMachineTimeThatIsNotUnderstoodIsAnError(t *testing.T) {
	for _, text := range []string{"", "cpu 1 2", "cpu0 1 2 3 4 5 6 7 8", "cpu 1 2 3 4 x 6 7 8"} {
		_, err := parseMachineTime([]byte(text))
		assert.Assert(t, err != nil, text)
	}
}

func TestVerdictNeedsAQuietMachine(t *testing.T) {
	slow := addedLine("hop", 2*addedTargetMs, busyShare/2)
	assert.Assert(t, !slow.OK)
	assert.Equal(t, slow.Bound, "<=0.75")
	assert.Assert(t, addedLine("hop", addedTargetMs, 0).OK)
	left := addedLine("hop", 2*addedTargetMs, 2*busyShare)
	assert.Assert(t, left.OK)
	assert.Equal(t, left.Bound, "none")
}
