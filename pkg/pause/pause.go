// Package pause holds the pauses between tries of something that failed.
package pause

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// NewBackoff returns pauses that grow from first to most, with some chance, until they are
// reset.
func NewBackoff(first, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, most
	return b
}

// Sleep waits for a time or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
