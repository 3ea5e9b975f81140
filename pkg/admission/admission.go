// Package admission decides beside an upstream whether an attempt may run. It
// sees all work of the upstream, so its decisions hold even when entries act on
// stale views. It is pure.
//
// The checks are made in this order: incarnation, request already seen,
// deadline, stopping or leaving, failure domain and upstream marks, room.
package admission

import (
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/ledger"
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
	// ClockError is the largest difference between two hosts' clocks.
	ClockError time.Duration
	// Line is how many admitted attempts may wait for room.
	Line int
	// Reserved is how much of the limit only priority work may use.
	Reserved int
	// Warmup is the settings of the limit.
	Warmup warmup.Config
}

// Gate is the admission state of one upstream.
type Gate struct {
	cfg      Config
	ledger   *ledger.Ledger
	limiter  *warmup.Limiter
	shares   *shares.Counter
	line     line
	virtual  float64
	marks    api.Marks
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

// Admit decides on an attempt.
func (g *Gate) Admit(a *api.AttemptRequest, now time.Time) Decision {
	if a.Incarnation != g.cfg.Incarnation {
		return refuse(api.OutcomeNotRun, problem.ReasonWrongIncarnation)
	}
	deadline := time.UnixMilli(a.DeadlineUnixMilli)
	switch g.ledger.State(a.RequestID) {
	case ledger.StateAbsent:
	case ledger.StateWithdrawn:
		return refuse(api.OutcomeNotRun, problem.ReasonWithdrawn)
	case ledger.StateLost:
		return refuse(api.OutcomeUnknown, problem.ReasonOutcomeUnknown)
	default:
		return Decision{Attach: true}
	}
	if !now.Before(deadline) {
		return refuse(api.OutcomeNotRun, problem.ReasonDeadlineExceeded)
	}
	if reason, closed := g.closed(); closed {
		return refuse(api.OutcomeNotRun, reason)
	}
	room := g.hasRoom(a.Priority)
	if !room && len(g.line) >= g.cfg.Line {
		return refuse(api.OutcomeNotRun, problem.ReasonNoRoom)
	}
	if !g.ledger.Admit(a.RequestID, deadline, now) {
		return refuse(api.OutcomeNotRun, problem.ReasonDeadlineExceeded)
	}
	g.shares.Add(a.Organisation, a.Entry, a.Weight, a.Cost, now)
	if room {
		g.start(a.Virtual, a.Priority)
	} else {
		g.line.add(a)
	}
	return Decision{Admitted: true, Queued: !room}
}

// closed reports whether the upstream takes no new work at all.
func (g *Gate) closed() (problem.Reason, bool) {
	switch {
	case g.leaving:
		return problem.ReasonLeaving, true
	case slices.Contains(g.marks.OutFailureDomains, g.cfg.FailureDomain):
		return problem.ReasonFailureDomainOut, true
	case slices.Contains(g.marks.OutUpstreams, g.cfg.Upstream):
		return problem.ReasonUpstreamOut, true
	case !g.ready:
		return problem.ReasonNotReady, true
	default:
		return "", false
	}
}

// Dispatch is called right before an admitted attempt is sent to the upstream.
// It reports false when the attempt must not be sent any more; the caller then
// calls Release.
func (g *Gate) Dispatch(id string, deadline, now time.Time) bool {
	return g.ledger.Dispatch(id, deadline, now)
}

// Refuse ends an admitted attempt before dispatch. It reports whether the
// request has certainly not run.
func (g *Gate) Refuse(id string) bool { return g.ledger.Refuse(id) }

// Finish records the end of a dispatched attempt.
func (g *Gate) Finish(id string, known bool) { g.ledger.Finish(id, known) }

// Release gives back the room of an attempt. Turns must be called next.
func (g *Gate) Release() { g.running-- }

// Withdraw answers a question about a request, and makes sure that a request
// that has not been dispatched never is. A request that an earlier incarnation
// may have received is unknown.
func (g *Gate) Withdraw(w *api.WithdrawRequest, now time.Time) api.Outcome {
	if w.Incarnation != g.cfg.Incarnation {
		return api.OutcomeUnknown
	}
	outcome := g.ledger.Withdraw(w.RequestID, time.UnixMilli(w.DeadlineUnixMilli), now).Outcome()
	if outcome == api.OutcomeNotRun {
		g.line.remove(w.RequestID)
	}
	return outcome
}

// SetMarks takes newer marks and drops older ones. It reports whether the marks
// were taken.
func (g *Gate) SetMarks(m api.Marks) bool {
	if m.Version <= g.marks.Version {
		return false
	}
	g.marks = m
	return true
}

// Leave closes the gate for good. Running attempts go on.
func (g *Gate) Leave() { g.leaving = true }

// Running returns the number of attempts that hold room.
func (g *Gate) Running() int { return g.running }

// Observe takes a sample of the upstream.
func (g *Gate) Observe(s warmup.Sample, skew float64, now time.Time) {
	g.ready = true
	g.step = s.Step
	g.skew = skew
	s.Running = g.running
	g.limiter.Observe(s, now)
}

// Unreachable records that the upstream doesn't answer.
func (g *Gate) Unreachable() { g.ready = false }

// Report returns the gate's state for entries.
func (g *Gate) Report() api.Report {
	g.sequence++
	_, closed := g.closed()
	return api.Report{
		Upstream:      g.cfg.Upstream,
		FailureDomain: g.cfg.FailureDomain,
		Service:       g.cfg.Service,
		Incarnation:   g.cfg.Incarnation,
		Sequence:      g.sequence,
		Limit:         g.limiter.Limit(),
		Reserved:      g.reserved(),
		Running:       g.running,
		Line:          len(g.line),
		Leaving:       g.leaving,
		Ready:         !closed,
		Virtual:       g.virtual,
		MarksVersion:  g.marks.Version,
		StepMillis:    float64(g.step) / float64(time.Millisecond),
		Skew:          g.skew,
	}
}
