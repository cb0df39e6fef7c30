package capacity

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFit(t *testing.T) {
	for name, c := range map[string]struct {
		sizes, values []float64
		want          slope
	}{
		"line":      {[]float64{1, 2, 4}, []float64{5, 7, 11}, slope{3, 2}},
		"flat":      {[]float64{10, 20, 30}, []float64{4, 4, 4}, slope{4, 0}},
		"one point": {[]float64{7}, []float64{9}, slope{9, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			got := fit(c.sizes, c.values)
			assert.Assert(t, math.Abs(got.base-c.want.base) < 1e-9 && math.Abs(got.per-c.want.per) < 1e-9, "%+v", got)
			assert.Assert(t, math.Abs(got.at(c.sizes[0])-c.values[0]) < 1e-9)
		})
	}
}
