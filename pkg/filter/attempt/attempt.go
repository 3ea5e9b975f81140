// Package attempt is the last filter of an entry: it sends a request to
// upstreams, attempt after attempt, and relays the verified answer.
package attempt

import (
	"cmp"
	"context"
	"net/http"
	"sync"
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

// Config is the settings of the filter.
type Config struct {
	// SilenceTimeout is how long a stream may be silent before it is given up.
	SilenceTimeout time.Duration
	// AskTimeout bounds a question about the state of a request.
	AskTimeout time.Duration
	// RetryRatio is how many retries each request earns.
	RetryRatio float64
	// RetryBurst is the most retries that can be saved up.
	RetryBurst float64
	// NewBudget returns the retry budget of a service. When it is nil, all
	// services share one of RetryRatio and RetryBurst.
	NewBudget func() Budget
}

// Budget bounds the retries at a service.
type Budget interface {
	retry.Spender
	// Earn records a request.
	Earn(now time.Time)
}

// Fleet is what the filter needs of the entry's view of upstreams.
type Fleet interface {
	queue.Source
	RecordReport(r api.Report)
	ReconcileCost(service, organisation string, weight int, difference float64)
}

type filter struct {
	cfg     Config
	fleet   Fleet
	link    Transport
	retries *prometheus.CounterVec

	mu      sync.Mutex
	budgets map[string]Budget
}

// New returns the filter.
func New(cfg Config, f Fleet, link Transport, reg prometheus.Registerer) pipe.Handler {
	retries := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciaglade_retries_total",
		Help: "Attempts after the first, by the reason of the retry.",
	}, []string{"reason"})
	reg.MustRegister(retries)
	if cfg.NewBudget == nil {
		shared := retry.NewBudget(cfg.RetryRatio, cfg.RetryBurst)
		cfg.NewBudget = func() Budget { return shared }
	}
	return &filter{cfg: cfg, fleet: f, link: link, retries: retries, budgets: make(map[string]Budget)}
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
		exchange: f.link.Open(r),
		ticket:   r.ID,
		state:    retry.Request{Idempotent: r.Idempotent, Deadline: r.Deadline, MaxAttempts: r.MaxAttempts},
	}
	defer func() {
		f.fleet.ReconcileCost(r.Service.Name, r.Organisation.Name, r.Organisation.Weight, r.ServedCost()-r.ExpectedCost)
	}()
	defer j.giveBack()
	for {
		upstream, err := j.acquire(ctx)
		if err != nil {
			return j.queueRefusal(err)
		}
		r.RecordDecision("send an attempt", cmp.Or(upstream.SelectionReason, "the upstream has room"), upstream.Report.Upstream)
		action, err := j.attempt(ctx, upstream)
		if action != retry.ActionRetry {
			return err
		}
		f.retries.WithLabelValues(string(j.reason())).Inc()
		f.fleet.ReconcileCost(r.Service.Name, r.Organisation.Name, r.Organisation.Weight, -r.ExpectedCost)
	}
}

// rerunWait is how long a caller that has a part of an answer waits for another
// upstream before the answer is broken off.
const rerunWait = time.Second

// acquire waits for an upstream for the next attempt.
func (j *job) acquire(ctx context.Context) (fleet.Upstream, error) {
	if j.moved != nil {
		u := j.moved
		j.moved, j.ticket = nil, u.ticket
		return u.Upstream, nil
	}
	if j.state.Relayed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, rerunWait)
		defer cancel()
	}
	return queue.Acquire(ctx, j.fleet, j.request, queue.Ticket{ID: j.ticket, Priority: j.state.Relayed})
}

func (j *job) next(event retry.Event) retry.Action {
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
	// refusal is the last refusal of an agent.
	refusal *api.Refusal
	// ticket names the running attempt towards the fleet.
	ticket string
	// moved is the upstream at which the request goes on after the running attempt.
	moved *reserved
	// silent fires when the upstream's side has shown no sign of life for long.
	silent *time.Timer
}

// attempt runs one attempt to its end. It returns retry.ActionRetry when another one
// is due, and otherwise what the caller is told.
func (j *job) attempt(ctx context.Context, u fleet.Upstream) (retry.Action, error) {
	j.state.Attempts++
	j.refusal = nil
	if !j.state.Relayed {
		j.request.Reply.Restart()
	}
	j.request.TriedUpstreams = append(j.request.TriedUpstreams, u.Report.Upstream)
	failed := true
	defer func() { j.release(failed) }()
	result := j.listen(ctx, u, func(ctx context.Context) Result { return j.exchange.Send(ctx, u, j.state.Attempts, j) })
	for {
		if result.Err == nil && errors.Is(ctx.Err(), context.Canceled) {
			result.Err = problem.New(problem.ReasonCallerGone, "")
		}
		if result.Err != nil {
			// The caller's end failed, not the upstream.
			failed = false
			j.abandon(u, j.state.Attempts)
			return retry.ActionFinish, result.Err
		}
		action := j.next(result.Event)
		j.request.RecordDecision(action.String(), result.Event.String(), u.Report.Upstream)
		switch action {
		case retry.ActionQueryStatus:
			result = j.ask(u)
		case retry.ActionResume:
			result = j.listen(ctx, u, func(ctx context.Context) Result { return j.exchange.Resume(ctx, u, j) })
		case retry.ActionFinish:
			failed = false
			return action, j.request.Reply.Finish()
		case retry.ActionRetry:
			if result.Event != retry.EventNotRun && result.Event != retry.EventNotSent {
				go j.abandon(u, j.state.Attempts)
			}
			return action, nil
		default:
			// The caller's answer doesn't wait for an agent that may be gone.
			go j.abandon(u, j.state.Attempts)
			return action, j.problem(action)
		}
	}
}

// release gives the upstream back and says how the attempt failed, if it did.
func (j *job) release(failed bool) {
	reason := problem.Reason("")
	if failed {
		reason = j.reason()
	}
	j.fleet.Release(j.ticket, reason)
}

// listen runs a step that reads an answer, until it is silent for too long or the
// upstream is lost.
func (j *job) listen(ctx context.Context, u fleet.Upstream, step func(context.Context) Result) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch sync.WaitGroup
	watch.Go(func() { j.watch(ctx, u, cancel) })
	j.silent = time.AfterFunc(j.silence(), cancel)
	defer j.silent.Stop()
	result := step(ctx)
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	cancel()
	watch.Wait()
	if j.moved != nil {
		result = j.leave(result)
	}
	if result.Refusal != nil && timedOut {
		// What the connection says is only that it was closed for this.
		result.Refusal.Detail = timeLimit
	}
	return j.keep(result)
}

// watch ends a step when the upstream is lost, or once the request can go on at
// another one.
func (j *job) watch(ctx context.Context, u fleet.Upstream, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-u.EntryCutOff:
		cancel()
	case <-u.MoveRequested:
		if j.reserve(ctx) {
			cancel()
		}
	}
}

// ask asks for the state of the request.
func (j *job) ask(u fleet.Upstream) Result {
	ctx, cancel := context.WithTimeout(context.Background(), j.askTimeout())
	defer cancel()
	return j.keep(j.exchange.QueryStatus(ctx, u, j.state.Attempts))
}

// timeLimit is the detail of an attempt that ended because the request's time did.
const timeLimit = "the request's time limit has passed"

// keep keeps the refusal of a result.
func (j *job) keep(result Result) Result {
	if result.Refusal != nil {
		j.refusal = result.Refusal
	}
	return result
}

// abandon tells the upstream's side that nobody waits for an attempt any more.
func (j *job) abandon(u fleet.Upstream, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), j.cfg.AskTimeout)
	defer cancel()
	j.exchange.Abandon(ctx, u, attempt)
}

// RecordActivity implements Sink.
func (j *job) RecordActivity() { j.silent.Reset(j.silence()) }

// RecordReport implements Sink.
func (j *job) RecordReport(r api.Report) { j.fleet.RecordReport(r) }

// SetHeader implements Sink.
func (j *job) SetHeader(status int, header http.Header) error {
	j.fleet.RecordStart(j.ticket)
	return j.request.Reply.SetHeader(status, header)
}

// WriteData implements Sink.
func (j *job) WriteData(part []byte) error {
	r := j.request
	r.ActualCost++
	r.RecordPart(time.Now())
	j.fleet.RecordPart(j.ticket)
	err := r.Reply.WriteData(part)
	j.state.RecordProgress(r.Reply.HasStarted())
	return err
}

// reason returns the reason of the last attempt's end.
func (j *job) reason() problem.Reason {
	if j.refusal == nil {
		return problem.ReasonOutcomeUnknown
	}
	return problem.Reason(j.refusal.Reason)
}

// queueRefusal turns a refusal of the queue into what the caller is told.
func (j *job) queueRefusal(err error) error {
	if !j.state.MaybeRan {
		return err
	}
	if j.state.Relayed {
		return j.problem(retry.ActionAbort)
	}
	return j.problem(retry.ActionRefuseUnknown)
}

// problem returns what the caller is told when the request is given up.
func (j *job) problem(action retry.Action) error {
	detail := ""
	if j.refusal != nil {
		detail = j.refusal.Detail
	}
	switch action {
	case retry.ActionAbort:
		return problem.New(problem.ReasonStreamBroken, detail)
	case retry.ActionRefuseUnknown:
		return j.unknown(detail)
	default:
		if j.refusal == nil {
			return problem.New(problem.ReasonRetriesExhausted, "")
		}
		return problem.New(j.reason(), detail).WithRan(problem.RanNo)
	}
}

// unknown returns what the caller is told of a request that may have run. Only a
// request that is safe to send again names the time after which to do so.
func (j *job) unknown(detail string) error {
	if j.request.Idempotent && !time.Now().Before(j.request.Deadline) {
		return problem.New(problem.ReasonDeadlineExceeded, "").WithRan(problem.RanUnknown)
	}
	p := problem.New(j.reason(), detail)
	if p.Ran == problem.RanNo {
		p = problem.New(problem.ReasonOutcomeUnknown, detail)
	}
	if p.RetryAfterSeconds == 0 && p.Ran == problem.RanUnknown && (j.request.Idempotent || j.request.IdempotencyKey != "") {
		p = p.WithRetryAfter(retryAfterUnknown)
	}
	return p
}

var _ Sink = (*job)(nil)

// retryAfterUnknown is the time after which a request with an unknown outcome
// may be sent again.
const retryAfterUnknown = 2 * time.Second
