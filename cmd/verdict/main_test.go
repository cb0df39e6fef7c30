package main

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestJudge(t *testing.T) {
	known := map[string]bool{"TestKnown": true}
	for name, c := range map[string]struct {
		output string
		fault  string
	}{
		"all passed":          {"ok  \tp/a\t0.1s\n", ""},
		"known failure":       {"--- FAIL: TestKnown (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\nok  \tp/b\t0.1s\n", ""},
		"unknown failure":     {"--- FAIL: TestOther (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\n", "TestOther"},
		"known and unknown":   {"--- FAIL: TestKnown (0.00s)\n--- FAIL: TestOther (0.00s)\nFAIL\tp/a\t0.1s\n", "TestOther"},
		"failure by build":    {"FAIL\tp/a [build failed]\n", "build failed"},
		"failure by timeout":  {"panic: test timed out after 1s\nFAIL\tp/a\t1s\n", "timed out"},
		"exit without a test": {"FAIL\tp/a\t0.1s\n", "p/a"},
		"panic behind known":  {"--- FAIL: TestKnown (0.00s)\npanic: boom\nFAIL\tp/a\t0.1s\n", "boom"},
		"no result":           {"make: nothing\n", "no test result"},
	} {
		t.Run(name, func(t *testing.T) {
			err := judge(strings.NewReader(c.output), io.Discard, known)
			if c.fault == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.fault)
		})
	}
}
