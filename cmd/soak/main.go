// Command soak runs the fault soak.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/baobabstack/baobabstack/proof/soak"
)

type options struct {
	Binary   string   `long:"binary" default:"bin/baobabstack" description:"The program under test"`
	Seed     []uint64 `long:"seed" description:"Seed to run; may be repeated"`
	Runs     int      `long:"runs" description:"Number of runs with fresh seeds"`
	Seconds  int      `long:"seconds" default:"15" description:"Length of a run's faults"`
	Gateways int      `long:"gateways" default:"5" description:"Number of gateways"`
	Callers  int      `long:"callers" default:"24" description:"Number of callers"`
	Faults   []string `long:"fault" description:"Kind of fault to inject, of all if none is named; may be repeated"`
	Defect   string   `long:"defect" description:"Deliberate defect to switch on; the binary needs the build tag defects"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	for range o.Runs {
		o.Seed = append(o.Seed, uint64(rand.Uint32()))
	}
	found := 0
	for _, seed := range o.Seed {
		n, err := soak.Run(soak.Options{
			Binary: o.Binary, Seed: seed, Length: time.Duration(o.Seconds) * time.Second,
			Gateways: o.Gateways, Callers: o.Callers, Defect: o.Defect, Faults: o.Faults,
		}, os.Stdout)
		if err != nil {
			fmt.Printf("VIOLATION seed %d: %v\n", seed, err)
			n = 1
		}
		found += n
	}
	fmt.Printf("%d runs, %d violations\n", len(o.Seed), found)
	if found > 0 {
		os.Exit(1)
	}
}
