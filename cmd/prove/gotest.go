package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// runsAtOnce bounds the test processes at a time. Proofs mostly wait, and each
	// run starts a few entries: half of the cores of a machine with six.
	runsAtOnce = 3
	// testsPerRun splits a package's tests, so that the longest package does not
	// decide how long all proofs take.
	testsPerRun = 10
)

// testRun is some tests of one package.
type testRun struct {
	pkg   string
	names []string
}

// testRuns returns each test of the proofs once, those of the largest packages first.
func testRuns(proofs []proofEntry, short bool) []testRun {
	tests := make(map[string][]string)
	for _, p := range proofs {
		if p.Test != "" && (p.Short || !short) && !slices.Contains(tests[p.Package], p.Test) {
			tests[p.Package] = append(tests[p.Package], p.Test)
		}
	}
	var runs []testRun
	for pkg, names := range tests {
		for part := range slices.Chunk(names, testsPerRun) {
			runs = append(runs, testRun{pkg, part})
		}
	}
	slices.SortFunc(runs, func(a, b testRun) int { return len(tests[b.pkg]) - len(tests[a.pkg]) })
	return runs
}

// testAll runs the tests of the proofs and returns those that passed, by package
// and name.
func testAll(proofs []proofEntry, short bool) (map[string]bool, error) {
	var args []string
	if short {
		args = append(args, "-short")
	}
	var mu sync.Mutex
	all := make(map[string]bool)
	var group errgroup.Group
	group.SetLimit(runsAtOnce)
	for _, run := range testRuns(proofs, short) {
		group.Go(func() error {
			passed, output, err := goTest(run, args, nil)
			mu.Lock()
			defer mu.Unlock()
			for _, name := range passed {
				all[run.pkg+" "+name] = true
			}
			if len(passed) < len(run.names) {
				fmt.Fprint(os.Stderr, output)
			}
			return err
		})
	}
	return all, group.Wait()
}

type testEvent struct {
	Action string
	Test   string
	Output string
}

// goTest runs tests of a package and returns those that passed, without subtests,
// and the output. A test that did not run has not passed.
func goTest(run testRun, args, env []string) (passed []string, output string, err error) {
	args = append([]string{"test", "-json", "-count=1", "-run", "^(" + strings.Join(run.names, "|") + ")$"}, args...)
	cmd := exec.Command("go", append(args, run.pkg)...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return nil, "", errors.WithStack(err)
	}
	var text strings.Builder
	ran := false
	for line := range bytes.Lines(out) {
		var e testEvent
		if json.Unmarshal(line, &e) != nil {
			continue
		}
		ran = ran || e.Test != ""
		switch {
		case e.Action == "pass" && slices.Contains(run.names, e.Test):
			passed = append(passed, e.Test)
		case e.Action == "output":
			text.WriteString(e.Output)
		}
	}
	if !ran {
		return nil, "", errors.Errorf("%s ran no test: %s", run.pkg, text.String())
	}
	return passed, text.String(), nil
}
