package selection

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Candidate is an entry's view of one upstream.
type Candidate struct {
	// Report is the newest report of the upstream's agent.
	Report api.Report
	// ReceivedAt is when the report arrived.
	ReceivedAt time.Time
	// InFlight is how many attempts of this entry run or wait there.
	InFlight int
	// SentSinceReport is how many attempts in flight were sent after the report
	// arrived.
	SentSinceReport int
	// PrioritySentSinceReport is how many of those are priority work.
	PrioritySentSinceReport int
	// Pending is how many attempts in flight have not started, and
	// PendingByOrganisation how many of each organisation.
	Pending               int
	PendingByOrganisation map[string]int
	// OutOfService is true if a mark takes the upstream or its failure domain out of
	// service.
	OutOfService bool
	// AvoidUntil is the time until which the upstream is not selected after a failure.
	AvoidUntil time.Time
	// Suspect is true from a failed attempt until the next report, so that an
	// unreachable upstream is not selected because of a report from before the failure.
	Suspect bool
	// Delisted is true once the upstream has left the host list.
	Delisted bool
}

// Request holds the properties of a request by which a policy selects.
type Request struct {
	Organisation string
	// Priority is true if the organisation has priority.
	Priority bool
	// NoQueueing is true if the request must not wait in an agent's queue yet.
	NoQueueing bool
	// Prefix is the hash of the prompt's leading blocks, 0 if it is unknown.
	Prefix uint64
}

// Limits limit the use of candidates.
type Limits struct {
	// MaxReportAge is the age beyond which a report is not used.
	MaxReportAge time.Duration
	// MaxQueuedPerOrganisation is how many attempts of one organisation this entry
	// may have waiting at one agent that has no free capacity.
	MaxQueuedPerOrganisation int
}

// Eligible returns the indices of the candidates with free capacity for the request.
// If there are none, it returns those of the candidates at which the request may wait
// in the agent's queue.
func (l Limits) Eligible(candidates []Candidate, r Request, now time.Time) []int {
	var free, queueable []int
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.isUsable(now, l.MaxReportAge):
		case c.occupancy(r) < c.capacity(r):
			free = append(free, i)
		case r.Priority || !r.NoQueueing && c.Pending < c.Report.Limit && c.PendingByOrganisation[r.Organisation] < l.MaxQueuedPerOrganisation:
			queueable = append(queueable, i)
		}
	}
	if len(free) > 0 {
		return free
	}
	return queueable
}

// HasCapacity reports whether any candidate can take a request now, at once or in its
// agent's queue.
func (l Limits) HasCapacity(candidates []Candidate, now time.Time) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.isUsable(now, l.MaxReportAge) && (c.Pending < c.Report.Limit || c.occupancy(Request{}) < c.capacity(Request{})) {
			return true
		}
	}
	return false
}

// HasUsable reports whether any candidate is usable, even if it is full now.
func (l Limits) HasUsable(candidates []Candidate, now time.Time) bool {
	for i := range candidates {
		if candidates[i].isUsable(now, l.MaxReportAge) {
			return true
		}
	}
	return false
}

// isUsable reports whether the candidate may be selected, apart from its load.
func (c *Candidate) isUsable(now time.Time, maxAge time.Duration) bool {
	r := &c.Report
	if c.OutOfService || c.Delisted || r.Draining || !r.Ready || c.Suspect || now.Before(c.AvoidUntil) {
		return false
	}
	return now.Sub(c.ReceivedAt) <= maxAge
}

// capacity returns how many attempts the upstream may run at once for requests like r:
// only priority work may use the reserved part.
func (c *Candidate) capacity(r Request) int {
	if r.Priority {
		return c.Report.Limit
	}
	return c.Report.Limit - c.Report.Reserved
}

// occupancy estimates how many attempts use capacity before r can: those that run, and
// those that wait, unless r has priority.
func (c *Candidate) occupancy(r Request) int {
	if r.Priority {
		return c.Report.Running + c.PrioritySentSinceReport
	}
	return max(c.Report.Running+c.Report.Queued+c.SentSinceReport, c.InFlight)
}

// Load returns the occupied fraction of the limit, multiplied by the upstream's skew.
func (c *Candidate) Load(r Request) float64 {
	skew := max(1, c.Report.Skew)
	return float64(c.occupancy(r)) * skew / float64(max(1, c.Report.Limit))
}
