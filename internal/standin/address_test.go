package standin

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFreeAddressesDiffer(t *testing.T) {
	const addresses = 2000
	seen := make(map[string]bool)
	for range addresses {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
}
