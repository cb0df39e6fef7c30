package limits

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/peers"
	"github.com/baobabstack/baobabstack/internal/supervisor/shares"
)

const (
	borrowRequests = 500
	// borrowBudget is a third of the 28 KB a second that control may send and
	// receive at an entry.
	borrowBudget = 28_000 / 3
	borrowLimit  = 5 * time.Second
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a counted connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// grantingPeer lends what it is asked for.
type grantingPeer struct {
	peerwire.UnimplementedPeersServer
}

// Borrow grants all.
func (grantingPeer) Borrow(_ context.Context, in *peerwire.BorrowRequest) (*peerwire.BorrowReply, error) {
	return &peerwire.BorrowReply{Tokens: in.GetTokens()}, nil
}

// borrowLines measures the bytes of a request for tokens and its grant, without
// the headers of TCP and IP, and what an entry sends at most.
func borrowLines() ([]report.Line, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var bytes atomic.Int64
	server := grpc.NewServer()
	peerwire.RegisterPeersServer(server, grantingPeer{})
	go func() { _ = server.Serve(countingListener{Listener: listener, bytes: &bytes}) }()
	defer server.Stop()
	links := peers.NewLinks()
	defer links.Close()
	for i := range borrowRequests {
		ctx, cancel := context.WithTimeout(context.Background(), borrowLimit)
		_, err := links.Borrow(ctx, listener.Addr().String(), &peerwire.BorrowRequest{
			Customer: "shipping-agents", Service: "container-stock", Tokens: 12.345,
			Incarnation: 1 << 63, Sequence: uint64(i + 1),
		})
		cancel()
		if err != nil {
			return nil, err
		}
	}
	each := float64(bytes.Load()) / borrowRequests
	// An entry sends its own requests and answers as many on average.
	total := 2 * each * shares.BorrowRequestsPerSecond
	return []report.Line{
		report.Info("limits_bytes_per_borrow", each, "B"),
		report.AtMost("limits_borrow_bytes_per_second", total, "B/s", borrowBudget),
	}, nil
}
