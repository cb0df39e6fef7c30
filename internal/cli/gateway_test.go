package cli

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
)

func TestChangeBoundsAreChecked(t *testing.T) {
	for _, test := range []struct {
		text, fault string
		want        time.Duration
	}{
		{"2500ms", "", 2500 * time.Millisecond},
		{"", "", discovery.DefaultChangeBound},
		{"3", "give a duration", 0},
		{"1ms", "at least 100ms", 0},
		{"-2s", "at least 100ms", 0},
	} {
		var b changeBound
		err := b.UnmarshalFlag(test.text)
		if test.fault != "" {
			assert.ErrorContains(t, err, test.fault, test.text)
			continue
		}
		assert.NilError(t, err, test.text)
		assert.Equal(t, b.duration(), test.want, test.text)
	}
}
