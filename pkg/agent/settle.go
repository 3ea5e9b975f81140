package agent

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/claim"
)

const (
	// completeTimeout bounds how long an answer waits for its claim's write.
	completeTimeout = time.Second
	// settlePause is the time between two tries of a write.
	settlePause = 500 * time.Millisecond
)

// complete stores the answer in the claim. When the store does not take it at
// once, the writing goes on after the answer was given.
func (a *Agent) complete(h *claim.Handle, answer claim.Answer) {
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	if a.claims.Complete(ctx, h, answer) == nil {
		return
	}
	a.retryWrite(func(ctx context.Context) error { return a.claims.Complete(ctx, h, answer) })
}

// settle writes the end of a claim in the background.
func (a *Agent) settle(h *claim.Handle, write func(context.Context, *claim.Handle) error) {
	if h == nil {
		return
	}
	a.retryWrite(func(ctx context.Context) error { return write(ctx, h) })
}

// retryWrite repeats a write to the store in the background until it succeeds
// or the settle time has passed. A stopping agent waits for it.
func (a *Agent) retryWrite(write func(context.Context) error) {
	a.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		for {
			err := write(ctx)
			if err == nil {
				return
			}
			select {
			case <-ctx.Done():
				a.log.WithError(err).Warn("claim not settled; a resend is told that the outcome is unknown")
				return
			case <-time.After(settlePause):
			}
		}
	})
}
