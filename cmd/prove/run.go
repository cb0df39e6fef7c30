package main

import (
	"cmp"
	"fmt"
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

// runProofs runs each test once and prints a line for each proof.
func runProofs(proofs []proofEntry, short bool) error {
	known, err := knownred.Names(knownred.File)
	if err != nil {
		return err
	}
	red := missingPromises(proofs)
	passed, err := testAll(proofs, short)
	if err != nil {
		return err
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
		args := []string{"-tags", "defects"}
		env := []string{"BAOBAB_DEFECT=" + p.Defect, "BAOBAB_TAGS=defects"}
		passed, _, err := goTest(testRun{p.Package, []string{p.Test}}, args, env)
		if err != nil {
			return err
		}
		verdict := "caught"
		if slices.Contains(passed, p.Test) {
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
