// Command bench runs the project's benchmarks and prints a line a measure:
// BENCH name value unit bound ok|RED. It exits with 1 if a line is RED and not
// listed in KNOWN-RED.txt.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/bench/capacity"
	"github.com/baobabstack/baobabstack/bench/hop"
	"github.com/baobabstack/baobabstack/bench/limits"
	"github.com/baobabstack/baobabstack/bench/policy"
	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/bench/storm"
	"github.com/baobabstack/baobabstack/internal/knownred"
)

// measures lists all benchmarks in the order in which they run.
var measures = []report.Measure{
	policy.Measure,
	storm.Measure,
	capacity.Measure(),
	capacity.Gateways(),
	limits.Measure(),
	hop.Measure,
}

type options struct {
	Short  bool   `long:"short" description:"Run in under 50 s altogether"`
	Seed   uint64 `long:"seed" default:"1" description:"Seed of the seeded measures"`
	Binary string `long:"binary" default:"bin/baobabstack" description:"Program to run as entries"`
	Args   struct {
		Names []string `positional-arg-name:"NAME" description:"Measures to run; all if none"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	known, err := knownred.Names(knownred.File)
	if err != nil {
		return err
	}
	chosen, err := selected(o.Args.Names)
	if err != nil {
		return err
	}
	var red []string
	for _, m := range chosen {
		lines, err := m.Run(context.Background(), report.Options{Short: o.Short, Seed: o.Seed, Binary: o.Binary})
		if err != nil {
			return errors.Wrap(err, m.Name)
		}
		for _, l := range lines {
			l.Print(os.Stdout)
			if !l.OK && !known[l.Name] {
				red = append(red, l.Name)
			}
		}
	}
	if len(red) > 0 {
		return errors.Errorf("outside the bound: %s", strings.Join(red, ", "))
	}
	return nil
}

// selected returns the measures with these names, or all if none is given. An
// unknown name is an error.
func selected(names []string) ([]report.Measure, error) {
	if len(names) == 0 {
		return measures, nil
	}
	var out []report.Measure
	for _, name := range names {
		i := slices.IndexFunc(measures, func(m report.Measure) bool { return m.Name == name })
		if i < 0 {
			return nil, errors.Errorf("no measure is named %s", name)
		}
		out = append(out, measures[i])
	}
	return out, nil
}
