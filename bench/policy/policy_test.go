package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSameSeedSameFigures(t *testing.T) {
	for _, c := range conditions {
		for _, p := range policies {
			a := run(newScenario(services[3], c, 0.7, 2000, 5), p)
			b := run(newScenario(services[3], c, 0.7, 2000, 5), p)
			assert.DeepEqual(t, a.latency.Export(), b.latency.Export())
			assert.Equal(t, a.attempts, b.attempts)
			assert.Equal(t, a.probes, b.probes)
		}
	}
}

// Each call ends exactly once.
func TestCallsAreConserved(t *testing.T) {
	for _, c := range conditions {
		for _, p := range policies {
			r := run(newScenario(services[0], c, 0.9, 5000, 3), p)
			assert.Equal(t, r.answered+r.rejected, r.calls, "%s %s", c, p.name)
		}
	}
}

func TestWorkAtChangingSpeed(t *testing.T) {
	sc := &scenario{speeds: [][]float64{{1, 0.5, 1}}}
	assert.Equal(t, sc.end(0, 0, 2*step), 5*step/2)
	assert.Equal(t, sc.end(0, 10*step, 2*step), 12*step)
}
