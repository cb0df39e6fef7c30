package dispatch

import (
	"context"

	"github.com/baobabstack/baobabstack/internal/call"
)

// Unlimited is the Admission that admits every call.
type Unlimited struct{}

// Admit admits the call.
func (Unlimited) Admit(context.Context, *call.Request) (func(), *call.Answer) {
	return func() {}, nil
}
