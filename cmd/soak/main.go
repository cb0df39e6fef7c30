// Command soak runs the fault soak.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/baobabstack/baobabstack/proof/soak"
)

type options struct {
	Binary   string   `long:"binary" default:"bin/baobabstack" description:"The program under test"`
	Seed     []string `long:"seed" description:"Seed to run, as NUMBER or NUMBER@FAULT,FAULT; may be repeated"`
	Runs     int      `long:"runs" description:"Number of runs with fresh seeds"`
	Seconds  int      `long:"seconds" default:"15" description:"Length of a run's faults"`
	Gateways int      `long:"gateways" default:"5" description:"Number of gateways"`
	Callers  int      `long:"callers" description:"Number of callers; by default 24, or one a gateway if that is more"`
	Faults   []string `long:"fault" description:"Kind or group (general, stops, endless, refusals, places, copies) of faults to inject, of all if none is named; may be repeated"`
	Defect   string   `long:"defect" description:"Deliberate defect to switch on; the binary needs the build tag defects"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	for range o.Runs {
		o.Seed = append(o.Seed, fmt.Sprint(rand.Uint32()))
	}
	if o.Callers == 0 {
		o.Callers = max(minCallers, o.Gateways)
	}
	found := 0
	for _, seed := range o.Seed {
		found += run(o, seed)
	}
	fmt.Printf("%d runs, %d violations\n", len(o.Seed), found)
	if found > 0 {
		os.Exit(1)
	}
}

const minCallers = 24

// run runs one seed, with the faults that it names if any, and returns the number of
// violations.
func run(o options, seed string) int {
	number, faults, named := strings.Cut(seed, "@")
	if named {
		o.Faults = strings.Split(faults, ",")
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %s: %v\n", seed, err)
		os.Exit(2)
	}
	found, err := soak.Run(soak.Options{
		Binary: o.Binary, Seed: n, Length: time.Duration(o.Seconds) * time.Second,
		Gateways: o.Gateways, Callers: o.Callers, Defect: o.Defect, Faults: o.Faults,
	}, os.Stdout)
	if err != nil {
		fmt.Printf("VIOLATION seed %s: %v\n", seed, err)
		return 1
	}
	return found
}
