// Package receive is the filter that reads the body of a request. The filters before it need only
// the head, so that no memory is spent on the body of a request that they refuse.
package receive

import (
	"context"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
)

// New returns the filter.
func New(next pipe.Handler) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		if r.ReadBody != nil {
			if err := r.ReadBody(); err != nil {
				return err
			}
		}
		return next.Serve(ctx, r)
	})
}
