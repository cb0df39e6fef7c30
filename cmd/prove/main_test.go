package main

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPageIsUpToDate(t *testing.T) {
	proofs, err := loadProofs("../../proof/proofs.d")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/PROOFS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), renderPage(proofs), "run `make proofs-page`")
}

func TestProofEntryCheck(t *testing.T) {
	for name, c := range map[string]struct {
		entry proofEntry
		fault string
	}{
		"whole":           {proofEntry{Promise: "drain", Failure: "kill", Package: "./proof", Test: "TestX"}, ""},
		"unproved":        {proofEntry{Promise: "drain", Failure: "kill", Reason: "no stand-in"}, ""},
		"unknown promise": {proofEntry{Promise: "speed", Failure: "kill", Reason: "x"}, "unknown promise"},
		"no failure":      {proofEntry{Promise: "drain", Reason: "x"}, "no failure"},
		"no reason":       {proofEntry{Promise: "drain", Failure: "kill"}, "neither a test nor a reason"},
		"no package":      {proofEntry{Promise: "drain", Failure: "kill", Test: "TestX"}, "no package"},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.entry.check()
			if c.fault == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.fault)
		})
	}
}
