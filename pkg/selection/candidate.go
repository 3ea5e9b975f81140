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
	// InFlight is how many attempts this entry has running or waiting there.
	InFlight int
	// SentSinceReport is how many of them were sent after the report arrived.
	SentSinceReport int
	// PrioritySentSinceReport is how many of those are priority work.
	PrioritySentSinceReport int
	// Pending is how many of them have not started, and PendingByOrganisation the same by
	// organisation.
	Pending               int
	PendingByOrganisation map[string]int
	// OutOfService is true when the table takes the upstream or its failure domain out.
	OutOfService bool
	// AvoidUntil is until when the upstream is passed over after a failure.
	AvoidUntil time.Time
	// Suspect is true from a failed attempt until the next report, so that an
	// upstream that can't be reached is not chosen on the strength of an old
	// report.
	Suspect bool
	// Delisted is true once the upstream has left the host list.
	Delisted bool
}

// Request is what a policy knows of a request.
type Request struct {
	Organisation string
	// Priority is true when the organisation has priority.
	Priority bool
	// NoQueueing is true when the request must not wait in an agent's line yet.
	NoQueueing bool
	// Prefix is the hash of the prompt's leading blocks, 0 when unknown.
	Prefix uint64
}

// Limits bound the use of candidates.
type Limits struct {
	// MaxReportAge is the age beyond which a report is not used.
	MaxReportAge time.Duration
	// MaxQueuedPerOrganisation is how many attempts of one organisation this entry
	// may have waiting at one agent once there is no free room.
	MaxQueuedPerOrganisation int
}

// Eligible returns the indices of the candidates with free room for the work,
// and when there are none, of those where it may wait in the agent's line.
func (l Limits) Eligible(candidates []Candidate, w Request, now time.Time) []int {
	var roomy, lined []int
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.usable(now, l.MaxReportAge):
		case c.occupied(w) < c.room(w):
			roomy = append(roomy, i)
		case w.Priority || !w.NoQueueing && c.Pending < c.Report.Limit && c.PendingByOrganisation[w.Organisation] < l.MaxQueuedPerOrganisation:
			lined = append(lined, i)
		}
	}
	if len(roomy) > 0 {
		return roomy
	}
	return lined
}

// HasCapacity reports whether any candidate has free room or a place in its line.
func (l Limits) HasCapacity(candidates []Candidate, now time.Time) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.usable(now, l.MaxReportAge) && (c.Pending < c.Report.Limit || c.occupied(Request{}) < c.room(Request{})) {
			return true
		}
	}
	return false
}

// HasServing reports whether any candidate takes work at all, be it full now.
func (l Limits) HasServing(candidates []Candidate, now time.Time) bool {
	for i := range candidates {
		if candidates[i].usable(now, l.MaxReportAge) {
			return true
		}
	}
	return false
}

// usable reports whether the candidate takes any work.
func (c *Candidate) usable(now time.Time, maxAge time.Duration) bool {
	r := &c.Report
	if c.OutOfService || c.Delisted || r.Draining || !r.Ready || c.Suspect || now.Before(c.AvoidUntil) {
		return false
	}
	return now.Sub(c.ReceivedAt) <= maxAge
}

// room returns how many attempts the upstream may run before the work.
func (c *Candidate) room(w Request) int {
	if w.Priority {
		return c.Report.Limit
	}
	return c.Report.Limit - c.Report.Reserved
}

// occupied estimates how many attempts are before the work: those that run, and
// those that wait unless the work has priority.
func (c *Candidate) occupied(w Request) int {
	if w.Priority {
		return c.Report.Running + c.PrioritySentSinceReport
	}
	return max(c.Report.Running+c.Report.Queued+c.SentSinceReport, c.InFlight)
}

// Load is the occupied fraction of the limit, weighted by the upstream's skew.
func (c *Candidate) Load(w Request) float64 {
	skew := max(1, c.Report.Skew)
	return float64(c.occupied(w)) * skew / float64(max(1, c.Report.Limit))
}
