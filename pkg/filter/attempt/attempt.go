// Package attempt is the last filter of an entry: it sends a request to
// upstreams, attempt after attempt, and relays the verified answer.
package attempt

import (
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/filter/queue"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Config is the settings of the filter.
type Config struct {
	// Silence is how long a stream may be silent before it is given up.
	Silence time.Duration
	// AskTimeout bounds a question about the state of a request.
	AskTimeout time.Duration
	// RetryRatio is how many retries each request earns.
	RetryRatio float64
	// RetryBurst is the most retries that can be saved up.
	RetryBurst float64
}

// Fleet is what the filter needs of the entry's view of upstreams.
type Fleet interface {
	queue.Source
	Report(r api.Report)
	Attain(service, organisation string, weight int, difference float64)
}

type filter struct {
	cfg     Config
	fleet   Fleet
	agents  *peer.AgentClient
	retries *prometheus.CounterVec

	mu     sync.Mutex
	budget *retry.Budget
}

// New returns the filter.
func New(cfg Config, f Fleet, agents *peer.AgentClient, reg prometheus.Registerer) pipe.Handler {
	retries := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciaglade_retries_total",
		Help: "Attempts after the first, by the reason of the retry.",
	}, []string{"reason"})
	reg.MustRegister(retries)
	return &filter{
		cfg:     cfg,
		fleet:   f,
		agents:  agents,
		retries: retries,
		budget:  retry.NewBudget(cfg.RetryRatio, cfg.RetryBurst),
	}
}

// Serve implements pipe.Handler.
func (f *filter) Serve(ctx context.Context, r *pipe.Request) error {
	f.mu.Lock()
	f.budget.Earn()
	f.mu.Unlock()
	j := &job{
		filter:  f,
		request: r,
		state:   retry.Request{Idempotent: r.Idempotent, Deadline: r.Deadline},
	}
	defer func() {
		f.fleet.Attain(r.Service.Name, r.Organisation.Name, r.Organisation.Weight, r.Served()-r.Cost)
	}()
	for {
		upstream, err := j.acquire(ctx)
		if err != nil {
			return j.queueRefusal(err)
		}
		r.Decide("send an attempt", "the upstream has room", upstream.Report.Upstream)
		action, err := j.attempt(ctx, upstream)
		if action != retry.Again {
			return err
		}
		f.retries.WithLabelValues(string(j.reason())).Inc()
		f.fleet.Attain(r.Service.Name, r.Organisation.Name, r.Organisation.Weight, -r.Cost)
	}
}

// rerunWait is how long a caller that has a part of an answer waits for another
// upstream before the answer is broken off.
const rerunWait = time.Second

// acquire waits for an upstream for the next attempt.
func (j *job) acquire(ctx context.Context) (fleet.Upstream, error) {
	if j.state.Relayed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, rerunWait)
		defer cancel()
	}
	return queue.Acquire(ctx, j.fleet, j.request)
}

func (f *filter) next(state *retry.Request, event retry.EventKind) retry.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return state.Next(event, f.budget, time.Now())
}

// job is one request with its attempts.
type job struct {
	*filter
	request  *pipe.Request
	state    retry.Request
	verifier *stream.Verifier
	attempts int
	// refusal is the last refusal of an agent.
	refusal *api.Refusal
}

// attempt runs one attempt to its end. It returns retry.Again when another one
// is due, and otherwise what the caller is told.
func (j *job) attempt(ctx context.Context, u fleet.Upstream) (retry.Action, error) {
	j.attempts++
	j.refusal = nil
	j.begin()
	failed := true
	defer func() { j.fleet.Release(j.request.ID, failed) }()
	event, err := j.send(ctx, u)
	for {
		if err == nil && errors.Is(ctx.Err(), context.Canceled) {
			err = problem.New(problem.ReasonCallerGone, "")
		}
		if err != nil {
			// The caller's end failed, not the upstream.
			failed = false
			j.abandon(u, j.attempts)
			return retry.Done, err
		}
		action := j.next(&j.state, event)
		j.request.Decide(action.String(), event.String(), u.Report.Upstream)
		switch action {
		case retry.Ask:
			event = j.ask(u)
		case retry.Resume:
			event, err = j.resume(ctx, u)
		case retry.Done:
			failed = false
			return action, j.request.Reply.End()
		case retry.Again:
			if event != retry.NotRun {
				go j.abandon(u, j.attempts)
			}
			return action, nil
		default:
			// The caller's answer doesn't wait for an agent that may be gone.
			go j.abandon(u, j.attempts)
			return action, j.problem(action)
		}
	}
}

// begin prepares for an answer that begins at its first frame. What the caller
// already has is not relayed again.
func (j *job) begin() {
	if j.state.Relayed {
		j.verifier.Rerun()
		return
	}
	j.verifier = stream.NewVerifier(j.request.ID)
	j.request.Reply.Restart()
}

// send sends the attempt and relays its answer.
func (j *job) send(ctx context.Context, u fleet.Upstream) (retry.EventKind, error) {
	r := j.request
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(j.silence(), cancel)
	defer timer.Stop()
	body, err := j.agents.Attempt(ctx, u.Address, &api.AttemptRequest{
		RequestID:         r.ID,
		Attempt:           j.attempts,
		Incarnation:       u.Report.Incarnation,
		Organisation:      r.Organisation.Name,
		Weight:            r.Organisation.Weight,
		Entry:             u.Entry,
		Cost:              r.Cost,
		PromptCost:        r.PromptCost,
		Virtual:           u.Virtual,
		Service:           r.Service.Name,
		Model:             r.Service.Kind == table.KindModel,
		Priority:          r.Organisation.Priority,
		Idempotent:        r.Idempotent,
		IdempotencyKey:    r.IdempotencyKey,
		DeadlineUnixMilli: r.Deadline.UnixMilli(),
		SentUnixMilli:     time.Now().UnixMilli(),
		Method:            r.Method,
		Path:              upstreamPath(r),
		ContentType:       r.ContentType,
		Body:              r.Body,
	})
	if err != nil {
		return j.sendEvent(err), nil
	}
	defer body.Close()
	return j.relay(body, timer)
}

// upstreamPath returns the path and query of the upstream's call. The path is
// encoded, so that the upstream decodes it to the one that was judged.
func upstreamPath(r *pipe.Request) string {
	u := url.URL{Path: r.Path, RawQuery: r.Query}
	return u.RequestURI()
}

// resume reads the answer on from where it stopped, on a new connection.
func (j *job) resume(ctx context.Context, u fleet.Upstream) (retry.EventKind, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(j.silence(), cancel)
	defer timer.Stop()
	body, err := j.agents.Resume(ctx, u.Address, j.request.ID, j.verifier.Next())
	if err != nil {
		return retry.Silent, nil
	}
	defer body.Close()
	return j.relay(body, timer)
}

const (
	// askTries is how often the state of a request is asked for.
	askTries = 3
	// askPause is the time between two tries.
	askPause = 100 * time.Millisecond
)

// ask asks the agent for the state of the request. A question that failed is
// repeated a few times, as the connection may have broken for a moment only.
func (j *job) ask(u fleet.Upstream) retry.EventKind {
	ctx, cancel := context.WithTimeout(context.Background(), j.askTimeout())
	defer cancel()
	for try := 1; ; try++ {
		outcome, err := j.agents.Withdraw(ctx, u.Address, &api.WithdrawRequest{
			RequestID:         j.request.ID,
			Attempt:           j.attempts,
			Incarnation:       u.Report.Incarnation,
			DeadlineUnixMilli: j.request.Deadline.UnixMilli(),
		})
		if err == nil {
			return j.askEvent(outcome)
		}
		if try == askTries || ctx.Err() != nil {
			return retry.Unknown
		}
		time.Sleep(askPause)
	}
}

// abandon tells the agent that nobody waits for an attempt any more.
func (j *job) abandon(u fleet.Upstream, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), j.cfg.AskTimeout)
	defer cancel()
	_ = j.agents.Cancel(ctx, u.Address, j.request.ID, attempt)
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
		return j.problem(retry.BreakOff)
	}
	return j.problem(retry.RefuseUnknown)
}

// problem returns what the caller is told when the request is given up.
func (j *job) problem(action retry.Action) error {
	detail := ""
	if j.refusal != nil {
		detail = j.refusal.Detail
	}
	switch action {
	case retry.BreakOff:
		return problem.New(problem.ReasonStreamBroken, detail)
	case retry.RefuseUnknown:
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

// retryAfterUnknown is the time after which a request with an unknown outcome
// may be sent again.
const retryAfterUnknown = 2 * time.Second
