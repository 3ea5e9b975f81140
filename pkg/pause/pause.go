// Package pause provides the pauses between the tries of an operation that failed.
package pause

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// NewBackoff returns an exponential backoff whose pauses, apart from jitter, grow from
// minPause to maxPause until it is reset.
func NewBackoff(minPause, maxPause time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minPause, maxPause
	return b
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
