package attempt

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/filter/queue"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// reserved is an upstream that was acquired while an attempt runs at another one.
type reserved struct {
	fleet.Upstream
	ticket string
}

// moveSuffix tells the ticket of a reserved upstream from that of the running attempt.
const moveSuffix = "/moved"

// reserve acquires another upstream while the attempt goes on, so that its answer is not
// interrupted in vain. It reports whether the attempt is to end for it.
func (j *job) reserve(ctx context.Context) bool {
	now := time.Now()
	if !j.state.MayMove(now) || !j.spend(now) {
		return false
	}
	ticket := j.ticket + moveSuffix
	u, err := queue.Acquire(ctx, j.fleet, j.request, queue.Ticket{ID: ticket, Priority: true})
	if err != nil {
		return false
	}
	j.moved = &reserved{Upstream: u, ticket: ticket}
	return true
}

// spend takes a retry from the budget of the request's service.
func (j *job) spend(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.budget(j.request.Service.Name).Spend(now)
}

// giveBack releases a reserved upstream that is not needed any more.
func (j *job) giveBack() {
	if j.moved != nil {
		j.fleet.Release(j.moved.ticket, "")
		j.moved = nil
	}
}

// leave returns the result of an attempt that ended for another upstream.
func (j *job) leave(result Result) Result {
	if result.Event == retry.EventComplete || result.Err != nil {
		return result
	}
	return Result{Event: retry.EventMoved, Refusal: &api.Refusal{Reason: string(problem.ReasonUpstreamSlow)}}
}
