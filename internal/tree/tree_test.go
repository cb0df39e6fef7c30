package tree

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/logs"
)

// failing fails some times before it runs.
type failing struct {
	left    int
	running chan struct{}
}

func (f *failing) Serve(ctx context.Context) error {
	if f.left--; f.left >= 0 {
		return errors.New("address in use")
	}
	close(f.running)
	<-ctx.Done()
	return ctx.Err()
}

func TestServiceThatFailsAtFirstRunsSoon(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	root := New("test", logs.For("test"))
	f := &failing{left: 8, running: make(chan struct{})}
	root.Add(f)
	done := root.ServeBackground(ctx)
	select {
	case <-f.running:
	case <-time.After(3 * time.Second):
		t.Error("the service is not started again")
	}
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
}
