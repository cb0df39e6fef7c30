// Command prove runs the proofs listed in proof/proofs.d and prints a line each:
// PROOF promise failure test seeds ok|RED|unproved. With --mutants it switches
// on each proof's deliberate defect and expects the test to fail.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Short   bool   `long:"short" description:"Run only the proofs marked short"`
	Mutants bool   `long:"mutants" description:"Run each proof against its deliberate defect"`
	Page    string `long:"page" value-name:"FILE" description:"Write the page of proofs instead of running them"`
	Dir     string `long:"dir" default:"proof/proofs.d" description:"Folder of the proof lists"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
		os.Exit(1)
	}
}
