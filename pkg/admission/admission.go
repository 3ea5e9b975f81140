// Package admission decides beside an upstream whether an attempt may run. It
// sees all work of the upstream, so its decisions hold even when entries act on
// stale views. It is pure.
//
// The checks are made in this order: incarnation, request already seen,
// deadline, stopping or leaving, failure domain and upstream marks, room.
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
	// Upstream, FailureDomain and Service name the upstream and its place.
	Upstream      string
	FailureDomain string
	Service       string
	// Incarnation is fresh at each start of the agent.
	Incarnation string
	// Started is when this incarnation started.
	Started time.Time
	// ClockError is the largest difference between two hosts' clocks.
	ClockError time.Duration
	// MarksSettleTime is how long after its first marks the gate begins to admit
	// work. An agent that restarts in a failure domain that is out thus hears
	// of it from the other entries, when the first marks come from an entry that
	// is cut off. 0 admits work without marks.
	MarksSettleTime time.Duration
	// MaxQueued is how many admitted attempts may wait for room.
	MaxQueued int
	// Reserved is how much of the limit only priority work may use.
	Reserved int
	// Warmup is the settings of the limit.
	Warmup warmup.Config
}

// Gate is the admission state of one upstream.
type Gate struct {
	cfg     Config
	clock   steadyClock
	ledger  *ledger.Ledger
	limiter *warmup.Limiter
	shares  *shares.Counter
	line    line
	virtual float64
	marks   marks.Set
	// marksAt is when the gate first had marks, and settled is set once they
	// are old enough.
	marksAt  time.Time
	settled  bool
	running  int
	leaving  bool
	ready    bool
	sequence uint64
	step     time.Duration
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

// Decision is the answer to an attempt.
type Decision struct {
	// Admitted is true when the caller must run the attempt.
	Admitted bool
	// Queued is true when an admitted attempt must wait for its turn first.
	Queued bool
	// Attach is true when the request already runs or has finished, and the
	// caller must relay its answer.
	Attach bool
	// Outcome and Refusal are set when the attempt is refused.
	Outcome api.Outcome
	Refusal *api.Refusal
}

func refuse(outcome api.Outcome, reason problem.Reason) Decision {
	return Decision{Outcome: outcome, Refusal: &api.Refusal{Reason: string(reason)}}
}

// Endings of a dispatched attempt.
const (
	// ResultUnknown means that the upstream may have run the attempt.
	ResultUnknown = ledger.ResultUnknown
	// ResultAnswered means that the whole answer is known.
	ResultAnswered = ledger.ResultAnswered
	// ResultNotSent means that no byte of the attempt was sent to the upstream.
	ResultNotSent = ledger.ResultNotSent
)

// Admit decides on an attempt. An attempt that is refused can't be admitted
// later, but a later attempt of the same request can.
func (g *Gate) Admit(a *api.AttemptRequest, now time.Time) Decision {
	now = g.clock.at(now)
	if a.Incarnation != g.cfg.Incarnation {
		return refuse(g.otherIncarnation(a), problem.ReasonWrongIncarnation)
	}
	attempt := ledger.Attempt{RequestID: a.RequestID, Number: a.Attempt, Deadline: time.UnixMilli(a.DeadlineUnixMilli)}
	switch g.ledger.State(attempt, a.Idempotent) {
	case ledger.StateAbsent:
	case ledger.StateWithdrawn:
		return refuse(api.OutcomeNotRun, problem.ReasonWithdrawn)
	case ledger.StateOutcomeUnknown:
		return refuse(api.OutcomeUnknown, problem.ReasonOutcomeUnknown)
	default:
		return Decision{Attach: true}
	}
	if !g.ledger.WithinRetention(attempt, now) {
		// A record of an earlier copy may have expired, so nothing is known.
		return refuse(api.OutcomeUnknown, problem.ReasonDeadlineExceeded)
	}
	if reason, refused := g.refusal(attempt, a.Priority, now); refused {
		g.ledger.Reject(attempt, now)
		return refuse(api.OutcomeNotRun, reason)
	}
	g.ledger.Admit(attempt, now)
	g.shares.Add(a.Organisation, a.Entry, a.Weight, a.Cost, now)
	if g.hasRoom(a.Priority) {
		g.start(a.Virtual, a.Priority)
		return Decision{Admitted: true}
	}
	g.line.add(a)
	return Decision{Admitted: true, Queued: true}
}

// otherIncarnation returns what is known of an attempt that was meant for
// another incarnation. A copy that was sent before this incarnation started may
// have reached the earlier one; one sent afterwards can't have.
func (g *Gate) otherIncarnation(a *api.AttemptRequest) api.Outcome {
	if time.UnixMilli(a.SentUnixMilli).After(g.cfg.Started.Add(g.cfg.ClockError)) {
		return api.OutcomeNotRun
	}
	return api.OutcomeUnknown
}

// refusal reports whether a new attempt must be refused, and why.
func (g *Gate) refusal(attempt ledger.Attempt, priority bool, now time.Time) (problem.Reason, bool) {
	if !now.Before(attempt.Deadline) {
		return problem.ReasonDeadlineExceeded, true
	}
	if reason, closed := g.closed(); closed {
		return reason, true
	}
	return problem.ReasonNoRoom, !g.hasRoom(priority) && len(g.line) >= g.cfg.MaxQueued
}

// closed reports whether the upstream takes no new work at all.
func (g *Gate) closed() (problem.Reason, bool) {
	switch {
	case g.leaving:
		return problem.ReasonLeaving, true
	case g.marks.IsFailureDomainOut(g.cfg.FailureDomain):
		return problem.ReasonFailureDomainOut, true
	case g.marks.IsUpstreamOut(g.cfg.Upstream):
		return problem.ReasonUpstreamOut, true
	case !g.ready, g.cfg.MarksSettleTime > 0 && !g.settled:
		return problem.ReasonNotReady, true
	default:
		return "", false
	}
}

// Dispatch is called right before an admitted attempt is sent to the upstream.
// It reports false when the attempt must not be sent any more; the caller then
// calls Release.
func (g *Gate) Dispatch(id string, attempt int, now time.Time) bool {
	return g.ledger.Dispatch(id, attempt, g.clock.at(now))
}

// RefuseAdmitted ends an admitted attempt before dispatch. It reports whether the
// attempt has certainly not run.
func (g *Gate) RefuseAdmitted(id string, attempt int) bool {
	return g.ledger.RefuseAdmitted(id, attempt)
}

// Finish records the end of a dispatched attempt.
func (g *Gate) Finish(id string, attempt int, e ledger.DispatchResult) {
	g.ledger.Finish(id, attempt, e)
}

// Release gives back the room of an attempt. Turns must be called next.
func (g *Gate) Release() { g.running-- }

// Withdraw answers a question about a request, and makes sure that a request
// that has not been dispatched never is. A request that an earlier incarnation
// may have received is unknown.
func (g *Gate) Withdraw(w *api.WithdrawRequest, now time.Time) api.Outcome {
	if w.Incarnation != g.cfg.Incarnation {
		return api.OutcomeUnknown
	}
	attempt := ledger.Attempt{RequestID: w.RequestID, Number: w.Attempt, Deadline: time.UnixMilli(w.DeadlineUnixMilli)}
	return g.ledger.Withdraw(attempt, g.clock.at(now)).Outcome()
}

// SetMarks takes what is newer in marks and drops the rest. It reports whether the marks
// were taken. An upstream that is in service again starts at the lowest limit,
// since it may have grown cold.
func (g *Gate) SetMarks(m api.Marks) bool {
	before := g.out()
	changed := g.marks.Merge(m)
	if before && !g.out() {
		g.limiter = warmup.New(g.cfg.Warmup)
	}
	return changed
}

// out reports whether the marks take the upstream out of service.
func (g *Gate) out() bool {
	return g.marks.IsFailureDomainOut(g.cfg.FailureDomain) || g.marks.IsUpstreamOut(g.cfg.Upstream)
}

// Leave closes the gate for good. Running attempts go on.
func (g *Gate) Leave() { g.leaving = true }

// Running returns the number of attempts that hold room.
func (g *Gate) Running() int { return g.running }

// Observe takes a sample of the upstream.
func (g *Gate) Observe(s warmup.Sample, skew float64, now time.Time) {
	g.ready = true
	g.settle(now)
	g.step = s.Step
	g.skew = skew
	// Reserved room can't be filled by other work, so it counts as used.
	s.Running = g.running + g.reserved()
	g.limiter.Observe(s, now)
}

// settle opens the gate once its first marks are old enough.
func (g *Gate) settle(now time.Time) {
	if g.marks.Marks().Version == 0 {
		return
	}
	if g.marksAt.IsZero() {
		g.marksAt = now
	}
	g.settled = now.Sub(g.marksAt) >= g.cfg.MarksSettleTime
}

// SetUnreachable records that the upstream doesn't answer.
func (g *Gate) SetUnreachable() { g.ready = false }

// Report returns the gate's state for entries.
func (g *Gate) Report() api.Report {
	g.sequence++
	_, closed := g.closed()
	held := g.marks.Marks()
	return api.Report{
		Upstream:      g.cfg.Upstream,
		FailureDomain: g.cfg.FailureDomain,
		Service:       g.cfg.Service,
		Incarnation:   g.cfg.Incarnation,
		Sequence:      g.sequence,
		Limit:         g.limiter.Limit(),
		Reserved:      g.reserved(),
		Running:       g.running,
		Queued:        len(g.line),
		Draining:      g.leaving,
		Ready:         !closed,
		Virtual:       g.virtual,
		MarksVersion:  held.Version,
		Provisional:   held.Provisional,
		StepMillis:    float64(g.step) / float64(time.Millisecond),
		Skew:          g.skew,
	}
}
