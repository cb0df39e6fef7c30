package fleet

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/logs"
)

// Guards against followers that get the items of another batch, because both have the same number of
// items and the same revision: in another era, or after what was withheld is taken over.
func TestBatchIsPackedForItself(t *testing.T) {
	batch := func(era uint64, letter string) discovery.Batch {
		r := discovery.Revision{Era: era, Number: 7}
		return discovery.Batch{Full: true, Revision: r, Items: []discovery.Item{{Key: letter, Value: bytes.Repeat([]byte(letter), minCompressBytes), Revision: r}}}
	}
	p := packer{log: logs.For("test")}
	for _, b := range []discovery.Batch{batch(1, "a"), batch(2, "b"), batch(2, "c")} {
		_, first := p.pack(b)
		_, again := p.pack(b)
		assert.Assert(t, &first[0] == &again[0], "it is compressed once for all followers")
		items, err := unpack(&fleetwire.Update{Packed: again})
		assert.NilError(t, err)
		assert.Equal(t, items[0].GetKey(), b.Items[0].Key)
		assert.Equal(t, items[0].GetEra(), b.Revision.Era)
	}
}
