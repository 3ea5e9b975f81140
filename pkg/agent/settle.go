package agent

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/claim"
)

const (
	// completeClaimTimeout limits how long the end of a response waits for the write of
	// its claim.
	completeClaimTimeout = time.Second
	// retryWriteInterval is the time between two tries of a write.
	retryWriteInterval = 500 * time.Millisecond
)

// completeClaim stores the response in the claim. If the write fails or takes longer
// than completeClaimTimeout, it is retried in the background after the response ends.
func (a *Agent) completeClaim(h *claim.Handle, response claim.Response) {
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), completeClaimTimeout)
	defer cancel()
	if a.claims.Complete(ctx, h, response) == nil {
		return
	}
	a.retryWrite(func(ctx context.Context) error { return a.claims.Complete(ctx, h, response) })
}

// settleClaim writes the final state of a claim in the background.
func (a *Agent) settleClaim(h *claim.Handle, write func(context.Context, *claim.Handle) error) {
	if h == nil {
		return
	}
	a.retryWrite(func(ctx context.Context) error { return write(ctx, h) })
}

// retryWrite retries a write to the store in the background until it succeeds or
// settleTime has passed. A draining agent waits for it.
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
				a.log.WithError(err).Warn("the claim of an idempotency key could not be written; a resend is refused with unknown outcome")
				return
			case <-time.After(retryWriteInterval):
			}
		}
	})
}
