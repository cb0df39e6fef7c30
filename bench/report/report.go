// Package report prints benchmark results, one line a measure.
package report

import (
	"context"
	"fmt"
	"io"
	"math"
)

// Line is one measured value and its bound.
type Line struct {
	// Name identifies the measure.
	Name string
	// Value is what was measured, in Unit.
	Value float64
	Unit  string
	// Bound is the stated target as text, such as "<=0.75" or "none".
	Bound string
	// OK says whether the value meets the bound.
	OK bool
}

// AtMost returns a line whose value must not exceed the bound.
func AtMost(name string, value float64, unit string, bound float64) Line {
	return Line{Name: name, Value: value, Unit: unit, Bound: fmt.Sprintf("<=%g", bound), OK: value <= bound}
}

// AtLeast returns a line whose value must not be below the bound.
func AtLeast(name string, value float64, unit string, bound float64) Line {
	return Line{Name: name, Value: value, Unit: unit, Bound: fmt.Sprintf(">=%g", bound), OK: value >= bound}
}

// Info returns a line without a bound.
func Info(name string, value float64, unit string) Line {
	return Line{Name: name, Value: value, Unit: unit, Bound: "none", OK: !math.IsNaN(value)}
}

// Print writes the line in the form BENCH name value unit bound ok|RED.
func (l Line) Print(w io.Writer) {
	verdict := "ok"
	if !l.OK {
		verdict = "RED"
	}
	fmt.Fprintf(w, "BENCH %s %.4g %s %s %s\n", l.Name, l.Value, l.Unit, l.Bound, verdict)
}

// Options configures a run of measures.
type Options struct {
	// Short asks for a run of a few seconds a measure.
	Short bool
	// Seed makes the run of a seeded measure repeatable.
	Seed uint64
	// Binary is the built program, for measures with real processes.
	Binary string
}

// Measure is a benchmark that yields lines.
type Measure struct {
	// Name selects the measure on the command line.
	Name string
	// Run measures.
	Run func(ctx context.Context, o Options) ([]Line, error)
}
