package fleet

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/logs"
)

const (
	// minCompressBytes is the total size of keys and values from which items are
	// compressed. For smaller batches the CPU time costs more than the bytes saved.
	minCompressBytes = 4 << 10
	// maxUnpackedBytes bounds the decompressed size of an update. It is far above a
	// configuration of one megabyte and the entries of some thousand servers.
	maxUnpackedBytes = 64 << 20
)

// packer compresses each batch once and reuses the result for all followers. It is
// safe for concurrent use.
type packer struct {
	log logs.Logger

	mu   sync.Mutex
	last packed
}

// packed caches the batch that was compressed last. All followers receive the same slice of items,
// which identifies the batch: one of the same revision may hold others.
type packed struct {
	items []discovery.Item
	data  []byte
}

// holds reports whether the batch with these items is the one in the cache.
func (p *packed) holds(items []discovery.Item) bool {
	return len(p.items) == len(items) && &p.items[0] == &items[0]
}

// pack returns a batch's items either as messages or, from minCompressBytes on, as
// a compressed Items message.
func (p *packer) pack(b discovery.Batch) ([]*fleetwire.Item, []byte) {
	size := 0
	for _, item := range b.Items {
		size += len(item.Key) + len(item.Value)
	}
	if size < minCompressBytes {
		return wireItems(b.Items), nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.holds(b.Items) {
		return nil, p.last.data
	}
	data, err := compress(b.Items)
	if err != nil {
		p.log.Warnf("can't compress items, sending them uncompressed: %v", err)
		return wireItems(b.Items), nil
	}
	p.last = packed{items: b.Items, data: data}
	return nil, data
}

func wireItems(items []discovery.Item) []*fleetwire.Item {
	out := make([]*fleetwire.Item, 0, len(items))
	for _, item := range items {
		out = append(out, &fleetwire.Item{Key: item.Key, Value: item.Value, Era: item.Revision.Era, Revision: item.Revision.Number, Deleted: item.Deleted})
	}
	return out
}

func compress(items []discovery.Item) ([]byte, error) {
	plain, err := proto.Marshal(&fleetwire.Items{Items: wireItems(items)})
	if err != nil {
		return nil, errors.Wrap(err, "encode items")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress items")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress items")
	}
	return out.Bytes(), nil
}

var errUnpackedSize = errors.New("update decompresses to more than 64 MiB")

// unpack returns the items of an update, decompressed if necessary. It fails if the
// packed data are malformed or exceed maxUnpackedBytes.
func unpack(u *fleetwire.Update) ([]*fleetwire.Item, error) {
	if len(u.GetPacked()) == 0 {
		return u.GetItems(), nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(u.GetPacked())), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress items")
	}
	if len(plain) > maxUnpackedBytes {
		return nil, errors.WithStack(errUnpackedSize)
	}
	var list fleetwire.Items
	if err := proto.Unmarshal(plain, &list); err != nil {
		return nil, errors.Wrap(err, "decode items")
	}
	return list.GetItems(), nil
}
