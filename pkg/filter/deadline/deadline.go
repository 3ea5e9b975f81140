// Package deadline is the filter that sets the deadline of each request.
package deadline

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Config holds the settings of the filter.
type Config struct {
	// Default is the time limit of a request without one.
	Default time.Duration
	// Max is the longest time limit that is accepted.
	Max time.Duration
}

// New returns the filter.
func New(next pipe.Handler, cfg Config) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		timeout := r.Timeout
		if timeout == 0 {
			timeout = cfg.Default
		}
		if timeout < 0 || timeout > cfg.Max {
			return problem.New(problem.ReasonBadDeadline, fmt.Sprintf("allowed: 1 to %d", cfg.Max.Milliseconds()))
		}
		if r.Route != nil && r.Route.Timeout > 0 {
			timeout = min(timeout, r.Route.Timeout)
		}
		r.Deadline = r.ReceivedAt.Add(timeout)
		ctx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		return next.Serve(ctx, r)
	})
}
