package peers

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/policy/share"
	"github.com/baobabstack/baobabstack/internal/supervisor/shares"
)

// SetBook sets the account table from which this entry lends. It must be called before
// Serve.
func (s *Service) SetBook(b *shares.AccountTable) { s.book = b }

// Borrow lends tokens of an account to the caller; 0 if there are none to spare.
func (s *Service) Borrow(_ context.Context, in *peerwire.BorrowRequest) (*peerwire.BorrowReply, error) {
	if s.book == nil {
		return &peerwire.BorrowReply{}, nil
	}
	key := shares.Key{Customer: in.GetCustomer(), Service: in.GetService()}
	ask := share.RequestID{Borrower: in.GetIncarnation(), Number: in.GetSequence()}
	return &peerwire.BorrowReply{Tokens: s.book.Lend(key, ask, in.GetTokens())}, nil
}

// Borrow asks the peer at the address for tokens.
func (l *Links) Borrow(ctx context.Context, address string, in *peerwire.BorrowRequest) (*peerwire.BorrowReply, error) {
	client, err := l.Client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Borrow(ctx, in)
	return reply, errors.WithStack(err)
}
