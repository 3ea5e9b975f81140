// Package admission decides, at the agent of an upstream, whether an attempt may
// run. All work of the upstream passes this agent, so the limits hold even if
// entries act on stale reports. The package does no I/O and reads no clock:
// callers pass the time.
//
// The checks are made in this order: incarnation, request already seen,
// deadline, draining, marks that take the failure domain or the upstream out of
// service, readiness, capacity. An attempt that passes all but the last waits in a
// queue of limited length.
package admission

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/ledger"
	"github.com/acaciaglade/acaciaglade/pkg/marks"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/shares"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// Config is the settings of a gate.
type Config struct {
	// Upstream is the upstream's name. FailureDomain and Service are those that
	// it belongs to.
	Upstream      string
	FailureDomain string
	Service       string
	// Incarnation is unique to each start of the agent.
	Incarnation string
	// Started is when this incarnation started.
	Started time.Time
	// ClockError is the largest difference between two hosts' clocks.
	ClockError time.Duration
	// MarksSettleTime is how long the gate waits after its first marks before it
	// admits work. The first marks may be out of date, if they are from an entry that
	// is cut off from the others. During the wait, an agent that restarted in a
	// failure domain that is out of service receives newer marks from other
	// entries. 0 admits work without marks.
	MarksSettleTime time.Duration
	// MaxQueued is how many admitted attempts may wait for capacity.
	MaxQueued int
	// Reserved is the part of the limit, in requests, that only priority work may
	// use.
	Reserved int
	// Warmup is the settings of the limit of running requests.
	Warmup warmup.Config
}

// Gate is the admission state of one upstream. It is not safe for concurrent use.
type Gate struct {
	cfg     Config
	clock   steadyClock
	ledger  *ledger.Ledger
	limiter *warmup.Limiter
	shares  *shares.Counter
	queue   queue
	// virtualTime is the largest virtual time of an attempt that acquired capacity,
	// priority work aside. Entries advance their fair queues to it.
	virtualTime float64
	marks       marks.Set
	// firstMarksAt is when the gate first had marks. marksSettled is true once
	// MarksSettleTime has passed since then.
	firstMarksAt time.Time
	marksSettled bool
	// running is the number of attempts that use capacity.
	running  int
	draining bool
	// ready is false while the upstream is unreachable.
	ready bool
	// upstreamIncarnation is the latest incarnation that the upstream has reported.
	upstreamIncarnation string
	// sequence numbers the reports. stepTime and skew are those of the last sample.
	sequence uint64
	stepTime time.Duration
	skew     float64
}

// New returns a gate that admits nothing until the upstream is ready.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:     cfg,
		ledger:  ledger.New(cfg.ClockError),
		limiter: warmup.New(cfg.Warmup),
		shares:  shares.NewCounter(),
	}
}

// Decision is the result of Admit.
type Decision struct {
	// Admitted is true if the caller must run the attempt.
	Admitted bool
	// Queued is true if an admitted attempt must wait for capacity first.
	Queued bool
	// Attach is true if the request already runs or has finished, and the
	// caller must relay its response.
	Attach bool
	// Outcome and Refusal are set if the attempt is refused.
	Outcome api.Outcome
	Refusal *api.Refusal
}

func refuse(outcome api.Outcome, reason problem.Reason) Decision {
	return Decision{Outcome: outcome, Refusal: &api.Refusal{Reason: string(reason)}}
}

// Results of a dispatched attempt.
const (
	// ResultUnknown means that the upstream may have run the attempt.
	ResultUnknown = ledger.ResultUnknown
	// ResultAnswered means that the complete response was received.
	ResultAnswered = ledger.ResultAnswered
	// ResultNotRun means that the attempt did not reach the upstream, or that the
	// upstream refused it before starting it.
	ResultNotRun = ledger.ResultNotRun
)

// Admit decides on an attempt. An attempt that is refused can't be admitted later,
// but a later attempt of the same request can.
func (g *Gate) Admit(a *api.AttemptRequest, now time.Time) Decision {
	now = g.clock.at(now)
	if a.Incarnation != g.cfg.Incarnation {
		return refuse(g.outcomeForOtherIncarnation(a), problem.ReasonWrongIncarnation)
	}
	attempt := ledger.Attempt{RequestID: a.RequestID, Number: a.Attempt, Deadline: time.UnixMilli(a.DeadlineUnixMilli)}
	switch g.ledger.State(attempt, a.Idempotent) {
	case ledger.StateAbsent:
	case ledger.StateWithdrawn:
		return refuse(api.OutcomeNotRun, problem.ReasonWithdrawn)
	case ledger.StateOutcomeUnknown:
		return refuse(api.OutcomeUnknown, problem.ReasonOutcomeUnknown)
	default:
		g.ledger.Join(attempt)
		return Decision{Attach: true}
	}
	if !g.ledger.WithinRetention(attempt, now) {
		// A record of an earlier copy may have expired, so the outcome is unknown.
		return refuse(api.OutcomeUnknown, problem.ReasonDeadlineExceeded)
	}
	if reason, refused := g.refusalReason(attempt, a.Priority, now); refused {
		g.ledger.Reject(attempt, now)
		return refuse(api.OutcomeNotRun, reason)
	}
	g.ledger.Admit(attempt, now)
	g.shares.Add(a.Organisation, a.Entry, a.Weight, a.Cost, now)
	if g.hasCapacity(a.Priority) {
		g.acquire(a.VirtualTime, a.Priority)
		return Decision{Admitted: true}
	}
	g.queue.insert(a)
	return Decision{Admitted: true, Queued: true}
}

// outcomeForOtherIncarnation returns the outcome of an attempt that is addressed to
// another incarnation. If it was sent before this incarnation started, a copy may
// have reached the earlier one. If it was sent afterwards, none can have.
func (g *Gate) outcomeForOtherIncarnation(a *api.AttemptRequest) api.Outcome {
	if time.UnixMilli(a.SentUnixMilli).After(g.cfg.Started.Add(g.cfg.ClockError)) {
		return api.OutcomeNotRun
	}
	return api.OutcomeUnknown
}

// refusalReason reports whether a new attempt must be refused, and why.
func (g *Gate) refusalReason(attempt ledger.Attempt, priority bool, now time.Time) (problem.Reason, bool) {
	if !now.Before(attempt.Deadline) {
		return problem.ReasonDeadlineExceeded, true
	}
	if reason, closed := g.closedReason(); closed {
		return reason, true
	}
	return problem.ReasonNoRoom, !g.hasCapacity(priority) && len(g.queue) >= g.cfg.MaxQueued
}

// closedReason reports whether the gate admits no work at all, and why.
func (g *Gate) closedReason() (problem.Reason, bool) {
	switch {
	case g.draining:
		return problem.ReasonLeaving, true
	case g.marks.IsFailureDomainOut(g.cfg.FailureDomain):
		return problem.ReasonFailureDomainOut, true
	case g.marks.IsUpstreamOut(g.cfg.Upstream):
		return problem.ReasonUpstreamOut, true
	case !g.ready, g.cfg.MarksSettleTime > 0 && !g.marksSettled:
		return problem.ReasonNotReady, true
	default:
		return "", false
	}
}

// Dispatch must be called right before an admitted attempt is sent to the
// upstream. It reports false if the attempt must not be sent any more; the caller
// then calls Release.
func (g *Gate) Dispatch(id string, attempt int, now time.Time) bool {
	return g.ledger.Dispatch(id, attempt, g.clock.at(now))
}

// RefuseAdmitted ends an admitted attempt before dispatch. It reports whether the
// attempt has certainly not run.
func (g *Gate) RefuseAdmitted(id string, attempt int) bool {
	return g.ledger.RefuseAdmitted(id, attempt)
}

// Finish records the result of a dispatched attempt.
func (g *Gate) Finish(id string, attempt int, result ledger.DispatchResult) {
	g.ledger.Finish(id, attempt, result)
}

// Release releases the capacity of an attempt. The caller must call ProcessQueue
// next.
func (g *Gate) Release() { g.running-- }

// Withdraw returns the outcome of an attempt, and prevents its dispatch if it has
// not been dispatched yet. The outcome of an attempt that is addressed to an earlier
// incarnation is unknown, since that incarnation may have received it.
func (g *Gate) Withdraw(w *api.WithdrawRequest, now time.Time) api.Outcome {
	if w.Incarnation != g.cfg.Incarnation {
		return api.OutcomeUnknown
	}
	attempt := ledger.Attempt{RequestID: w.RequestID, Number: w.Attempt, Deadline: time.UnixMilli(w.DeadlineUnixMilli)}
	return g.ledger.Withdraw(attempt, g.clock.at(now)).Outcome()
}

// SetMarks merges newer marks into those of the gate, and reports whether they
// changed. An upstream that returns to service starts at the lowest limit, since it
// may have become cold.
func (g *Gate) SetMarks(m api.Marks) bool {
	wasOut := g.isOut()
	changed := g.marks.Merge(m)
	if wasOut && !g.isOut() {
		g.limiter = warmup.New(g.cfg.Warmup)
	}
	return changed
}

// isOut reports whether the marks take the upstream out of service.
func (g *Gate) isOut() bool {
	return g.marks.IsFailureDomainOut(g.cfg.FailureDomain) || g.marks.IsUpstreamOut(g.cfg.Upstream)
}

// StartDraining closes the gate: it admits no more work, and ProcessQueue refuses the
// queued attempts. Running attempts continue.
func (g *Gate) StartDraining() { g.draining = true }

// Running returns the number of attempts that use capacity.
func (g *Gate) Running() int { return g.running }

// Observe adapts the limit to a sample of the upstream, which is ready from now on.
func (g *Gate) Observe(s warmup.Sample, skew float64, now time.Time) {
	g.ready = true
	g.upstreamIncarnation = s.Incarnation
	g.updateMarksSettled(now)
	g.stepTime = s.Step
	g.skew = skew
	// Work without priority can't use the reserved capacity, so it counts as running.
	s.Running = g.running + g.reserved()
	g.limiter.Observe(s, now)
}

// updateMarksSettled sets marksSettled once MarksSettleTime has passed since the first
// marks.
func (g *Gate) updateMarksSettled(now time.Time) {
	if g.marks.Marks().Version == 0 {
		return
	}
	if g.firstMarksAt.IsZero() {
		g.firstMarksAt = now
	}
	g.marksSettled = now.Sub(g.firstMarksAt) >= g.cfg.MarksSettleTime
}

// SetUnreachable closes the gate until the next call of Observe.
func (g *Gate) SetUnreachable() { g.ready = false }

// UpstreamIncarnation returns the latest incarnation that the upstream has reported, or "".
func (g *Gate) UpstreamIncarnation() string { return g.upstreamIncarnation }

// Report returns the next report to entries.
func (g *Gate) Report() api.Report {
	g.sequence++
	_, closed := g.closedReason()
	marks := g.marks.Marks()
	return api.Report{
		Upstream:            g.cfg.Upstream,
		FailureDomain:       g.cfg.FailureDomain,
		Service:             g.cfg.Service,
		Incarnation:         g.cfg.Incarnation,
		UpstreamIncarnation: g.upstreamIncarnation,
		Sequence:            g.sequence,
		Limit:               g.limiter.Limit(),
		Reserved:            g.reserved(),
		Running:             g.running,
		Queued:              len(g.queue),
		Draining:            g.draining,
		Ready:               !closed,
		VirtualTime:         g.virtualTime,
		MarksVersion:        marks.Version,
		Provisional:         marks.Provisional,
		StepMillis:          float64(g.stepTime) / float64(time.Millisecond),
		Skew:                g.skew,
	}
}
