package peers

import (
	"context"
	"fmt"
	"path"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/stats"
)

// byteCounter counts the bytes of messages between entries by method and
// direction, as they are on the wire.
type byteCounter struct{}

type methodKey struct{}

// TagRPC notes the method for HandleRPC.
func (byteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(info.FullMethodName))
}

// HandleRPC counts the bytes of one message.
func (byteCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.InPayload:
		peerBytes(method, "received").Add(s.WireLength)
	case *stats.OutPayload:
		peerBytes(method, "sent").Add(s.WireLength)
	}
}

// TagConn does nothing.
func (byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (byteCounter) HandleConn(context.Context, stats.ConnStats) {}

func peerBytes(method, direction string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`baobab_peer_bytes_total{method=%q,direction=%q}`, method, direction))
}
