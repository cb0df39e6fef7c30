package memory

import (
	"context"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

const (
	// firstChunkBytes is enough for most bodies.
	firstChunkBytes = 4 << 10
	// nextChunkBytes is the size of each further chunk of a body.
	nextChunkBytes = 32 << 10
)

var (
	firstChunks = sync.Pool{New: func() any { return new([firstChunkBytes]byte) }}
	nextChunks  = sync.Pool{New: func() any { return new([nextChunkBytes]byte) }}
)

// Body is the body of an answer. It is made of chunks, which are not copied as it grows and
// are used again after their release. Its bytes are counted from before they are allocated
// until they are released. It is not safe for concurrent use.
type Body struct {
	budget *FairBudget
	chunks [][]byte
	length int
	held   int // bytes counted
	// givenUp says that the budget waits for the release.
	givenUp bool
}

// Len returns the number of bytes in the body. A nil body has none.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// String returns the body's bytes.
func (b *Body) String() string {
	if b == nil {
		return ""
	}
	var out strings.Builder
	for _, c := range b.chunks {
		out.Write(c)
	}
	return out.String()
}

// Free returns the space behind the body's last byte; it is empty if the next byte needs a
// chunk. Extend adds what was written there.
func (b *Body) Free() []byte {
	if len(b.chunks) == 0 {
		return nil
	}
	last := b.chunks[len(b.chunks)-1]
	return last[len(last):cap(last)]
}

// Extend adds the first n bytes of Free to the body.
func (b *Body) Extend(n int) {
	if n == 0 {
		return
	}
	last := &b.chunks[len(b.chunks)-1]
	*last = (*last)[:len(*last)+n]
	b.length += n
}

// Append adds bytes to the body. If that needs a chunk and the budget is used up, it waits
// until the context ends or returns ErrUsedUp. With ErrUsedUp the body is to be released at
// once: until then no other one is given up.
func (b *Body) Append(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		if len(b.Free()) == 0 {
			if err := b.grow(ctx); err != nil {
				return err
			}
		}
		n := copy(b.Free(), data)
		b.Extend(n)
		data = data[n:]
	}
	return nil
}

// Hold counts bytes that are held with the body, until its release. It waits and fails as
// Append does.
func (b *Body) Hold(ctx context.Context, bytes int) error {
	if err := b.budget.reserve(ctx, b.held, bytes); err != nil {
		b.givenUp = b.held > 0 && errors.Is(err, ErrUsedUp)
		return err
	}
	b.held += bytes
	return nil
}

func (b *Body) grow(ctx context.Context) error {
	if len(b.chunks) == 0 {
		b.budget.add(b.held, firstChunkBytes)
		b.held += firstChunkBytes
		b.chunks = append(b.chunks, firstChunks.Get().(*[firstChunkBytes]byte)[:0])
		return nil
	}
	if err := b.Hold(ctx, nextChunkBytes); err != nil {
		return err
	}
	b.chunks = append(b.chunks, nextChunks.Get().(*[nextChunkBytes]byte)[:0])
	return nil
}

// Move returns a body with the content and the count of this one, which is empty then.
func (b *Body) Move() *Body {
	if b == nil {
		return nil
	}
	moved := *b
	*b = Body{budget: b.budget}
	return &moved
}

// Release frees all that the body holds. It is empty then, so that a second call does
// nothing. A nil body is allowed.
func (b *Body) Release() {
	if b == nil || b.held == 0 {
		return
	}
	for _, c := range b.chunks {
		recycle(c)
	}
	b.budget.release(b.held, true, b.givenUp)
	*b = Body{budget: b.budget}
}

// Chunk is a part of a body that is being sent. Its bytes stay counted until Release. The
// zero value holds nothing.
type Chunk struct {
	// Data are the bytes of the chunk.
	Data []byte
	body *Body
	size int
}

// Pop takes the first chunk out of the body; ok is false if there is none.
func (b *Body) Pop() (c Chunk, ok bool) {
	if b == nil || len(b.chunks) == 0 {
		return Chunk{}, false
	}
	data := b.chunks[0]
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	b.length -= len(data)
	return Chunk{Data: data, body: b, size: cap(data)}, true
}

// Recycle allows other bodies to use the chunk's memory; Data must not be used any more.
func (c *Chunk) Recycle() {
	if c.Data != nil {
		recycle(c.Data)
		c.Data = nil
	}
}

// Release ends the count of the chunk's bytes, and recycles them. It is to be called before
// the release of the body.
func (c *Chunk) Release() {
	if c.body == nil {
		return
	}
	c.Recycle()
	c.body.held -= c.size
	last := c.body.held == 0
	c.body.budget.release(c.size, last, last && c.body.givenUp)
	c.body = nil
}

func recycle(data []byte) {
	if cap(data) == firstChunkBytes {
		firstChunks.Put((*[firstChunkBytes]byte)(data[:firstChunkBytes]))
		return
	}
	nextChunks.Put((*[nextChunkBytes]byte)(data[:nextChunkBytes]))
}
