package main

import (
	"fmt"
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

func TestRunsHoldEachTestOnceAndTheLargestPackageFirst(t *testing.T) {
	var proofs []proofEntry
	add := func(pkg, name string, short bool) {
		proofs = append(proofs, proofEntry{Package: pkg, Test: name, Short: short})
	}
	add("./small", "TestA", true)
	for i := range testsPerRun + 1 {
		add("./large", fmt.Sprintf("Test%d", i), true)
	}
	add("./large", "Test0", true)
	add("./large", "TestLong", false)
	proofs = append(proofs, proofEntry{Reason: "not proved"})

	var sizes []string
	for _, run := range testRuns(proofs, true) {
		sizes = append(sizes, fmt.Sprint(run.pkg, " ", len(run.names)))
	}
	assert.DeepEqual(t, sizes, []string{fmt.Sprint("./large ", testsPerRun), "./large 1", "./small 1"})
	all := 0
	for _, run := range testRuns(proofs, false) {
		all += len(run.names)
	}
	assert.Equal(t, all, testsPerRun+3)
}
