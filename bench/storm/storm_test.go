package storm

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAttemptsDoNotMultiply(t *testing.T) {
	for seed := range uint64(5) {
		attempts, goodput := ratio(5000, seed, false)
		assert.Assert(t, attempts < maxRatio, "seed %d: %f", seed, attempts)
		assert.Assert(t, goodput > 0.99, "seed %d: %f", seed, goodput)
	}
}
