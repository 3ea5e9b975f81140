// Package ceiling is the filter that holds each organisation to its ceiling.
// Each entry spends from its part of the ceiling, which is the ceiling divided
// by the number of entries.
package ceiling

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Config is the settings of the filter.
type Config struct {
	// Entries returns the number of entries that share each ceiling.
	Entries func() int
	// Burst is the time for which an unused ceiling can be saved up.
	Burst time.Duration
}

type filter struct {
	next pipe.Handler
	cfg  Config

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// New returns the filter.
func New(next pipe.Handler, cfg Config) pipe.Handler {
	return &filter{next: next, cfg: cfg, limiters: make(map[string]*rate.Limiter)}
}

// Serve implements pipe.Handler.
func (f *filter) Serve(ctx context.Context, r *pipe.Request) error {
	if r.Organisation.Ceiling > 0 {
		if wait, ok := f.spend(r, time.Now()); !ok {
			return problem.New(problem.ReasonCeiling, "").WithRetryAfter(wait)
		}
	}
	return f.next.Serve(ctx, r)
}

// spend takes the request's cost from the organisation's part. When there is
// too little it returns the time until there is enough.
func (f *filter) spend(r *pipe.Request, now time.Time) (time.Duration, bool) {
	part := float64(r.Organisation.Ceiling) / float64(max(1, f.cfg.Entries()))
	burst := max(1, int(part*f.cfg.Burst.Seconds()))
	f.mu.Lock()
	l, ok := f.limiters[r.Organisation.Name]
	if !ok {
		l = rate.NewLimiter(rate.Limit(part), burst)
		f.limiters[r.Organisation.Name] = l
	}
	f.mu.Unlock()
	l.SetLimitAt(now, rate.Limit(part))
	l.SetBurstAt(now, burst)
	reservation := l.ReserveN(now, min(burst, int(r.Cost)))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
		return wait, false
	}
	return 0, true
}

var _ pipe.Handler = (*filter)(nil)
