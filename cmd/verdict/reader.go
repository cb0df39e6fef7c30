package main

import (
	"strings"

	"github.com/pkg/errors"
)

// reader collects the verdicts in go test output line by line.
type reader struct {
	known      map[string]bool
	passedOver []string
	unknown    []string
	// failed is the number of failed top-level tests since the last package line.
	failed  int
	results int
}

func newReader(known map[string]bool) *reader { return &reader{known: known} }

func (r *reader) line(text string) {
	switch {
	case strings.HasPrefix(text, "--- FAIL: "):
		r.failed++
		r.note(testName(text))
	case strings.HasPrefix(text, "FAIL\t"):
		r.results++
		r.packageFailed(text)
	case strings.HasPrefix(text, "ok  \t"):
		r.results++
	case strings.HasPrefix(text, "panic: "), strings.Contains(text, "[build failed]"), strings.Contains(text, "[setup failed]"):
		r.unknown = append(r.unknown, text)
	}
}

func (r *reader) note(name string) {
	if r.known[name] {
		r.passedOver = append(r.passedOver, name)
		return
	}
	r.unknown = append(r.unknown, name)
}

func (r *reader) packageFailed(text string) {
	if r.failed == 0 {
		r.unknown = append(r.unknown, strings.TrimSpace(text))
	}
	r.failed = 0
}

func (r *reader) verdict() error {
	if len(r.unknown) > 0 {
		return errors.Errorf("failures that KNOWN-RED.txt does not list: %s", strings.Join(r.unknown, ", "))
	}
	if r.results == 0 {
		return errors.New("no test result was read; pipe the output of go test in")
	}
	return nil
}

// testName returns the name in "--- FAIL: Name (0.00s)".
func testName(text string) string {
	name := strings.TrimPrefix(text, "--- FAIL: ")
	name, _, _ = strings.Cut(name, " ")
	return name
}
