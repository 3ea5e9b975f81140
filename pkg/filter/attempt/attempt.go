// Package attempt is the last filter of an entry: it sends a request to
// upstreams in one or more attempts and relays the verified response.
//
// When an attempt fails, package retry decides whether its state is queried, its response is
// resumed, another attempt is sent, or the request is refused. When the fleet requests a move,
// the running attempt is ended as soon as another upstream is acquired, and the request
// continues there.
//
// A silent attempt may still be served: its upstream may wait for others, or read a long
// prompt. Where agents can be queried, it is ended and its agent queried. Elsewhere
// (Config.Hedge) a second attempt is sent beside it, which continues after the last event, and
// the response goes on with the one that sends a part first. Only then the other one is ended.
package attempt

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/filter/queue"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// Config holds the settings of the filter.
type Config struct {
	// SilenceTimeout is how long a stream may be silent before it is abandoned.
	SilenceTimeout time.Duration
	// StatusQueryTimeout is the timeout of a status query and of an abandon notification.
	StatusQueryTimeout time.Duration
	// RetryRatio is how many retries each request earns.
	RetryRatio float64
	// RetryBurst is the largest number of retries that can accumulate.
	RetryBurst float64
	// NewBudget returns the retry budget of a service. If it is nil, all
	// services share one budget with RetryRatio and RetryBurst.
	NewBudget func() Budget
	// Hedge lets an attempt of idempotent work that is silent go on, beside a second attempt that
	// is sent once another upstream has a place. Without it, a silent attempt is ended and its
	// agent is queried.
	Hedge bool
	// Guard keeps requests from upstreams that they would end. If it is nil, all requests
	// are admitted.
	Guard Guard
}

// Budget limits the retries at a service.
type Budget interface {
	retry.Spender
	// Allows reports whether Spend would take a retry.
	Allows(now time.Time) bool
	// Earn records a request.
	Earn(now time.Time)
}

// Fleet is the part of the entry's view of upstreams that the filter needs.
type Fleet interface {
	queue.Source
	// RecordReport records a report of the upstream's load.
	RecordReport(r api.Report)
	// ReconcileCost adds the difference between the actual and the expected cost of a
	// request to the cost charged to its organisation.
	ReconcileCost(service, organisation string, weight int, difference float64)
}

type filter struct {
	cfg       Config
	fleet     Fleet
	transport Transport
	retries   *prometheus.CounterVec
	// hedges counts second attempts beside a silent one.
	hedges *prometheus.CounterVec
	// lastTicket numbers the tickets of requests.
	lastTicket atomic.Uint64

	mu      sync.Mutex
	budgets map[string]Budget
}

// New returns the filter.
func New(cfg Config, f Fleet, transport Transport, reg prometheus.Registerer) pipe.Handler {
	retries := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciaglade_retries_total",
		Help: "Attempts after the first, by the reason of the retry.",
	}, []string{"reason"})
	hedges := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciaglade_second_attempts_total",
		Help: "Second attempts of requests whose first one was silent, by whether their response was relayed.",
	}, []string{"result"})
	reg.MustRegister(retries, hedges)
	if cfg.NewBudget == nil {
		shared := retry.NewBudget(cfg.RetryRatio, cfg.RetryBurst)
		cfg.NewBudget = func() Budget { return shared }
	}
	return &filter{cfg: cfg, fleet: f, transport: transport, retries: retries, hedges: hedges, budgets: make(map[string]Budget)}
}

// budget returns the retry budget of a service. The caller holds the lock.
func (f *filter) budget(service string) Budget {
	b, ok := f.budgets[service]
	if !ok {
		b = f.cfg.NewBudget()
		f.budgets[service] = b
	}
	return b
}

// Serve implements pipe.Handler.
func (f *filter) Serve(ctx context.Context, r *pipe.Request) error {
	f.mu.Lock()
	f.budget(r.Service.Name).Earn(time.Now())
	f.mu.Unlock()
	j := &job{
		filter:   f,
		request:  r,
		exchange: f.transport.Open(r),
		ticketID: strconv.FormatUint(f.lastTicket.Add(1), 10),
		pass:     noPass{},
		state:    retry.Request{Idempotent: r.Idempotent, Deadline: r.Deadline, MaxAttempts: r.MaxAttempts},
	}
	defer func() {
		f.fleet.ReconcileCost(r.Service.Name, r.Organisation.Name, r.Organisation.Weight, r.ServedCost()-r.ExpectedCost)
	}()
	defer j.releaseMoveTarget()
	for {
		upstream, err := j.acquire(ctx)
		if err != nil {
			return j.acquireError(err)
		}
		r.RecordDecision("send an attempt", cmp.Or(upstream.SelectionReason, "the upstream has room"), upstream.Report.Upstream)
		action, err := j.attempt(ctx, upstream)
		if action != retry.ActionRetry {
			return err
		}
		f.retries.WithLabelValues(string(j.failureReason())).Inc()
		f.fleet.ReconcileCost(r.Service.Name, r.Organisation.Name, r.Organisation.Weight, -r.ExpectedCost)
	}
}

// maxRerunWait is how long a partly relayed response waits for another upstream before it
// is aborted.
const maxRerunWait = time.Second

// acquire returns the upstream of the next attempt: the reserved one, or the next one
// that the queue assigns.
func (j *job) acquire(ctx context.Context) (fleet.Upstream, error) {
	if j.moveTarget != nil {
		u := j.moveTarget
		j.moveTarget, j.ticketID, j.pass = nil, u.ticketID, u.pass
		return u.Upstream, nil
	}
	if j.state.Relayed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxRerunWait)
		defer cancel()
	}
	u, pass, err := j.acquireAdmitted(ctx, queue.Ticket{ID: j.ticketID, Priority: j.state.Relayed})
	if err == nil {
		j.pass = pass
	}
	return u, err
}

// acquireAdmitted waits for the admission of an attempt and then for an upstream. If the
// admission is revoked meanwhile, it starts again.
func (j *job) acquireAdmitted(ctx context.Context, ticket queue.Ticket) (fleet.Upstream, Pass, error) {
	for {
		pass, err := j.guard().Admit(ctx, j.request, j.pass)
		if err != nil {
			return fleet.Upstream{}, nil, err
		}
		waitCtx, cancel := withRevocation(ctx, pass)
		u, err := queue.Acquire(waitCtx, j.fleet, j.request, ticket)
		cancel()
		revoked := isRevoked(pass)
		if err == nil && !revoked {
			return u, pass, nil
		}
		if err == nil {
			j.fleet.Release(ticket.ID, "")
		}
		pass.RecordEnd(EndUnsent)
		if !revoked {
			return fleet.Upstream{}, nil, err
		}
	}
}

func (j *job) nextAction(event retry.Event) retry.Action {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.NextAction(event, j.budget(j.request.Service.Name), time.Now())
}

// job is one request with its attempts.
type job struct {
	*filter
	request  *pipe.Request
	exchange Exchange
	state    retry.Request
	// refusal is the refusal of the latest attempt, ranRefusal that of the latest one that
	// may have run.
	refusal, ranRefusal *api.Refusal
	// ticketID identifies the current attempt at the fleet. It changes only when the
	// request moves. The request's ID would not do, as callers may send one more than once.
	ticketID string
	// pass is the admission of the current or latest attempt.
	pass Pass
	// moveTarget is the upstream at which the request continues after the running
	// attempt.
	moveTarget *reservation
	// silenceTimer expires when the response has been silent for too long.
	silenceTimer *time.Timer
	// activeAt is when data last arrived, in Unix nanoseconds. writing is true while a part is
	// written to the caller.
	activeAt atomic.Int64
	writing  atomic.Bool
	// recording guards the decisions of the request.
	recording sync.Mutex
	// relaying guards the reply. relayingRun is the attempt that relays its response, hedge the
	// second one that runs beside it, nil for none.
	relaying           sync.Mutex
	relayingRun, hedge *run
	// parts counts the parts that were relayed. It is written with the lock held.
	parts atomic.Int64
}

// attempt runs one attempt to its end. It returns retry.ActionRetry if another one
// is due, and otherwise the error for the caller.
func (j *job) attempt(ctx context.Context, u fleet.Upstream) (retry.Action, error) {
	j.state.Attempts++
	j.refusal = nil
	j.request.Reply.StartAttempt()
	j.request.TriedUpstreams = append(j.request.TriedUpstreams, u.Report.Upstream)
	failed := true
	j.pass.RecordStart(u)
	end := EndOther
	defer func() {
		j.pass.RecordEnd(end)
		j.release(failed)
	}()
	u, result := j.readResponse(ctx, u, (*run).send)
	for {
		if isStopping(ctx) {
			// No attempt follows.
			j.state.Deadline = time.Now()
		} else if result.Err == nil && errors.Is(ctx.Err(), context.Canceled) {
			result.Err = problem.New(problem.ReasonCallerGone, "")
		}
		if result.Err != nil {
			// Writing to the caller failed, not the upstream.
			failed = false
			j.abandon(j.exchange, u, j.state.Attempts)
			return retry.ActionFinish, result.Err
		}
		end = j.endOf(ctx, result)
		action := j.nextAction(result.Event)
		j.request.RecordDecision(action.String(), result.Event.String(), u.Report.Upstream)
		switch action {
		case retry.ActionQueryStatus:
			result = j.queryStatus(u)
		case retry.ActionResume:
			u, result = j.readResponse(ctx, u, (*run).resume)
		case retry.ActionFinish:
			failed = false
			return action, j.request.Reply.Finish()
		case retry.ActionRetry:
			if result.Event != retry.EventNotRun && result.Event != retry.EventNotSent {
				go j.abandon(j.exchange, u, j.state.Attempts)
			}
			return action, nil
		default:
			// The caller's response must not wait for an agent that may be unreachable.
			go j.abandon(j.exchange, u, j.state.Attempts)
			return action, j.finalProblem(action)
		}
	}
}

// release releases the upstream with the reason of a failed attempt.
func (j *job) release(failed bool) {
	reason := problem.Reason("")
	if failed {
		reason = j.failureReason()
	}
	j.fleet.Release(j.ticketID, reason)
}

// queryStatus queries the state of the running attempt.
func (j *job) queryStatus(u fleet.Upstream) Result {
	ctx, cancel := context.WithTimeout(context.Background(), j.statusTimeout())
	defer cancel()
	return j.recordRefusal(j.exchange.QueryStatus(ctx, u, j.state.Attempts))
}

// isStopping reports whether a request's context has ended because the entry has to end.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), pipe.ErrStopping) }

// timeLimitDetail is the detail of an attempt that ended at the request's deadline.
const timeLimitDetail = "the request's time limit has passed"

// recordRefusal keeps the refusal of a result, if any, and returns the result.
func (j *job) recordRefusal(result Result) Result {
	if result.Refusal == nil {
		return result
	}
	j.refusal = result.Refusal
	switch result.Event {
	case retry.EventNotRun, retry.EventNotSent, retry.EventRejected:
	default:
		j.ranRefusal = result.Refusal
	}
	return result
}

// abandon notifies the upstream or its agent that the response of an attempt is no longer
// needed.
func (j *job) abandon(x Exchange, u fleet.Upstream, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), j.cfg.StatusQueryTimeout)
	defer cancel()
	x.Abandon(ctx, u, attempt)
}

// recordActivity records that data has arrived.
func (j *job) recordActivity() {
	j.activeAt.Store(time.Now().UnixNano())
	j.silenceTimer.Reset(j.silenceTimeout())
}

// silence returns for how long nothing has arrived. It is 0 while the caller is slow to take
// what has arrived.
func (j *job) silence() time.Duration {
	if j.writing.Load() {
		return 0
	}
	return time.Since(time.Unix(0, j.activeAt.Load()))
}

// recordDecision records a decision. It may be called while the attempt runs.
func (j *job) recordDecision(action, reason, upstream string) {
	j.recording.Lock()
	defer j.recording.Unlock()
	j.request.RecordDecision(action, reason, upstream)
}

// failureReason returns why the last attempt failed.
func (j *job) failureReason() problem.Reason { return reasonOf(j.refusal) }

// reasonOf returns the reason of a refusal, or that the outcome is unknown without one.
func reasonOf(refusal *api.Refusal) problem.Reason {
	if refusal == nil {
		return problem.ReasonOutcomeUnknown
	}
	return problem.Reason(refusal.Reason)
}

// acquireError returns the error for the caller when no upstream was acquired.
func (j *job) acquireError(err error) error {
	if !j.state.MaybeRan {
		return err
	}
	j.request.RecordDecision("send no further attempt", err.Error(), "")
	if j.state.Relayed {
		return j.finalProblem(retry.ActionAbort)
	}
	var p *problem.Problem
	if errors.As(err, &p) && p.Reason.IsQuarantine() {
		return p.WithRan(problem.RanUnknown).WithStatus(http.StatusBadGateway)
	}
	return j.finalProblem(retry.ActionRefuseUnknown)
}

// finalProblem returns the error for the caller when the request is not retried. What
// happened to the attempt that may have run is more than that a later one did not run.
func (j *job) finalProblem(action retry.Action) error {
	refusal := j.refusal
	if action != retry.ActionRefuseNotRun && j.ranRefusal != nil {
		refusal = j.ranRefusal
	}
	detail := ""
	if refusal != nil {
		detail = refusal.Detail
	}
	switch action {
	case retry.ActionAbort:
		return problem.New(problem.ReasonStreamBroken, detail)
	case retry.ActionRefuseUnknown:
		return j.unknownOutcomeProblem(reasonOf(refusal), detail)
	default:
		if refusal == nil {
			return problem.New(problem.ReasonRetriesExhausted, "")
		}
		return problem.New(reasonOf(refusal), detail).WithRan(problem.RanNo)
	}
}

// unknownOutcomeProblem returns the error for the caller of a request that may have run.
// It states a time after which to retry only if the request is safe to send again.
func (j *job) unknownOutcomeProblem(reason problem.Reason, detail string) error {
	if j.request.Idempotent && !time.Now().Before(j.request.Deadline) {
		return problem.New(problem.ReasonDeadlineExceeded, "").WithRan(problem.RanUnknown)
	}
	p := problem.New(reason, detail)
	if p.Reason.IsQuarantine() {
		return p.WithRan(problem.RanUnknown).WithStatus(http.StatusBadGateway)
	}
	if p.Ran == problem.RanNo {
		p = problem.New(problem.ReasonOutcomeUnknown, detail)
	}
	if p.RetryAfterSeconds == 0 && p.Ran == problem.RanUnknown && (j.request.Idempotent || j.request.IdempotencyKey != "") {
		p = p.WithRetryAfter(retryAfterUnknown)
	}
	return p
}

// retryAfterUnknown is the time after which a request with an unknown outcome
// may be sent again.
const retryAfterUnknown = 2 * time.Second
