package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/knownred"
)

func run(o options) error {
	proofs, err := loadProofs(o.Dir)
	if err != nil {
		return err
	}
	if o.Page != "" {
		return writePage(o.Page, proofs)
	}
	if o.Mutants {
		return runMutants(proofs)
	}
	return runProofs(proofs, o.Short)
}

// runProofs runs each package once and prints a line for each proof.
func runProofs(proofs []proofEntry, short bool) error {
	known, err := knownred.Names(knownred.File)
	if err != nil {
		return err
	}
	red := missingPromises(proofs)
	tests := make(map[string][]string)
	for _, p := range proofs {
		if p.Test != "" && (p.Short || !short) {
			tests[p.Package] = append(tests[p.Package], p.Test)
		}
	}
	passed := make(map[string]bool)
	for pkg, names := range tests {
		if err := goTest(pkg, names, nil, passed); err != nil {
			return err
		}
	}
	for _, p := range proofs {
		if p.Test != "" && short && !p.Short {
			continue
		}
		verdict := verdictOf(p, passed)
		fmt.Println("PROOF", p.Promise, p.Failure, cmp.Or(p.Test, "-"), cmp.Or(p.Seeds, "-"), verdict)
		if verdict == "RED" && !known[p.Test] {
			red = append(red, p.Test)
		}
	}
	if len(red) > 0 {
		return errors.Errorf("not proved: %s", strings.Join(red, ", "))
	}
	return nil
}

func verdictOf(p proofEntry, passed map[string]bool) string {
	switch {
	case p.Test == "":
		return "unproved"
	case passed[p.Package+" "+p.Test]:
		return "ok"
	default:
		return "RED"
	}
}

func missingPromises(proofs []proofEntry) []string {
	var missing []string
	for _, promise := range promises {
		if !slices.ContainsFunc(proofs, func(p proofEntry) bool { return p.Promise == promise }) {
			fmt.Println("PROOF", promise, "- - - RED")
			missing = append(missing, promise)
		}
	}
	return missing
}

// runMutants runs each proof that names a defect and expects it to fail.
func runMutants(proofs []proofEntry) error {
	var survived []string
	seen := make(map[string]bool)
	for _, p := range proofs {
		key := p.Defect + " " + p.Test
		if p.Defect == "" || seen[key] {
			continue
		}
		seen[key] = true
		passed := make(map[string]bool)
		env := []string{"BAOBAB_DEFECT=" + p.Defect, "BAOBAB_TAGS=defects"}
		if err := goTest(p.Package, []string{p.Test}, env, passed); err != nil {
			return err
		}
		verdict := "caught"
		if passed[p.Package+" "+p.Test] {
			verdict = "RED"
			survived = append(survived, p.Defect)
		}
		fmt.Println("MUTANT", p.Promise, p.Defect, p.Test, verdict)
	}
	if len(survived) > 0 {
		return errors.Errorf("defects that no proof caught: %s", strings.Join(survived, ", "))
	}
	return nil
}

type testEvent struct {
	Action string
	Test   string
	Output string
}

// goTest runs tests of a package and notes those that passed. A test that did
// not run has not passed.
func goTest(pkg string, names, env []string, passed map[string]bool) error {
	args := []string{"test", "-json", "-count=1", "-run", "^(" + strings.Join(names, "|") + ")$"}
	if len(env) > 0 {
		args = append(args, "-tags", "defects")
	}
	cmd := exec.Command("go", append(args, pkg)...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return errors.WithStack(err)
	}
	var failed []string
	ran := false
	for line := range bytes.Lines(out) {
		var e testEvent
		if json.Unmarshal(line, &e) != nil {
			continue
		}
		ran = ran || e.Test != ""
		switch e.Action {
		case "pass":
			passed[pkg+" "+e.Test] = true
		case "output":
			failed = append(failed, e.Output)
		}
	}
	if !ran {
		return errors.Errorf("%s ran no test: %s", pkg, strings.Join(failed, ""))
	}
	if err != nil && len(env) == 0 {
		fmt.Fprint(os.Stderr, strings.Join(failed, ""))
	}
	return nil
}
