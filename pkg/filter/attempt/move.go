package attempt

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/fleet"
)

// reservation is an upstream that was acquired while an attempt runs at another one.
type reservation struct {
	fleet.Upstream
	ticketID string
	pass     Pass
}

// moveSuffix distinguishes the ticket ID of a reserved upstream from that of the running
// attempt.
const moveSuffix = "/moved"

// hedgeSuffix does the same for a second attempt.
const hedgeSuffix = "/second"

// spendRetry takes a retry from the budget of the request's service.
func (j *job) spendRetry(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.budget(j.request.Service.Name).Spend(now)
}

// allowsRetry reports whether the budget of the request's service has a retry.
func (j *job) allowsRetry(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.budget(j.request.Service.Name).Allows(now)
}

// releaseMoveTarget releases a reserved upstream that was not used.
func (j *job) releaseMoveTarget() {
	if j.moveTarget != nil {
		j.cancelReservation(j.moveTarget)
		j.moveTarget = nil
	}
}

// cancelReservation releases an upstream that was acquired and is not used.
func (j *job) cancelReservation(r *reservation) {
	r.pass.RecordEnd(EndUnsent)
	j.fleet.Release(r.ticketID, "")
}
