// Package shutdown is the filter that decides which requests a stopping entry accepts, and
// that ends those that still run when the entry has to end.
//
// Callers go on to use open connections after the entry has received the stop signal, and the
// load balancer directs new ones to it for some time. A request is accepted only if its
// response can be expected to be complete before the process ends; otherwise it is refused at
// once as not run, and another entry takes it. The estimate is how long the latest responses
// of the same route took. Without one, only requests are accepted whose callers stop waiting
// in time.
//
// Plan and durations decide. They do no I/O and read no clock.
package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Filter decides about requests while the entry stops. It is safe for concurrent use.
type Filter struct {
	decisions *prometheus.CounterVec

	mu     sync.Mutex
	plan   *Plan
	routes map[string]*durations
	// running is the number of requests that were accepted and have not ended.
	running int
	// ended ends when the requests that still run are ended.
	ended context.Context
	end   context.CancelFunc
}

// maxRoutes is the number of routes whose durations are kept. Configurations replace routes.
const maxRoutes = 1000

// Results of the decision about a request, as labels.
const (
	resultAccepted = "accepted"
	resultRefused  = "refused"
	resultEnded    = "ended"
)

// New returns a filter that accepts all requests until Begin is called.
func New(registry prometheus.Registerer) *Filter {
	f := &Filter{
		routes: make(map[string]*durations),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_stopping_requests_total",
			Help: "Requests that arrived at the stopping entry, by whether they were accepted, and those that it ended.",
		}, []string{"result"}),
	}
	f.ended, f.end = context.WithCancel(context.Background())
	registry.MustRegister(f.decisions)
	return f
}

// Begin begins a planned stop. Only the first call has an effect.
func (f *Filter) Begin(p Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil {
		f.plan = &p
	}
}

// Running returns the number of accepted requests that have not ended.
func (f *Filter) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

// End ends the requests that still run. Their callers get a response that says so, or see the
// response that has begun break off.
func (f *Filter) End() { f.end() }

// Wrap returns the filter before next.
func (f *Filter) Wrap(next pipe.Handler) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		if err := f.accept(r, time.Now()); err != nil {
			return err
		}
		defer f.release()
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		stop := context.AfterFunc(f.ended, func() { cancel(pipe.ErrStopping) })
		defer stop()
		err := next.Serve(ctx, r)
		if errors.Is(context.Cause(ctx), pipe.ErrStopping) && err != nil {
			f.decisions.WithLabelValues(resultEnded).Inc()
			return endedProblem(err)
		}
		if mayHaveRun(r, err) {
			f.record(r, time.Now())
		}
		return err
	})
}

// mayHaveRun reports whether a request was sent to an upstream and not refused there. If its
// response was not complete, it would have taken longer.
func mayHaveRun(r *pipe.Request, err error) bool {
	var p *problem.Problem
	return len(r.TriedUpstreams) > 0 && !(errors.As(err, &p) && p.Ran == problem.RanNo)
}

// endedProblem returns the problem of a request that was ended. One that was not sent yet has
// only waited in vain, so that its deadline is no reason.
func endedProblem(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) && p.Reason == problem.ReasonDeadlineExceeded && p.Ran == problem.RanNo {
		return refuse("no upstream had room in time")
	}
	return err
}

// accept decides about a request. Its deadline and route are known.
func (f *Filter) accept(r *pipe.Request, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil {
		f.running++
		return nil
	}
	a := Arrival{Deadline: r.Deadline, Repeatable: r.Idempotent}
	if d := f.routes[routeOf(r)]; d != nil {
		a.Estimate, a.Estimated = d.estimate(now)
	}
	if !f.plan.Accepts(a, now) {
		f.decisions.WithLabelValues(resultRefused).Inc()
		return refuse(refusalDetail(a, f.plan.EndAt.Sub(now)))
	}
	f.decisions.WithLabelValues(resultAccepted).Inc()
	f.running++
	return nil
}

// retryAfter is the time after which a refused request may be sent again. Another entry takes
// it at once.
const retryAfter = 10 * time.Millisecond

// refuse returns the refusal of a request because the entry is stopping.
func refuse(detail string) *problem.Problem {
	return problem.New(problem.ReasonStopping, detail).WithRetryAfter(retryAfter)
}

// refusalDetail explains why a request was not accepted.
func refusalDetail(a Arrival, left time.Duration) string {
	detail := "the response may take longer than the " + max(0, left).Round(time.Millisecond).String() + " that are left"
	if a.Estimated {
		detail += "; the latest ones took up to " + a.Estimate.Longest.Round(time.Millisecond).String()
	}
	return detail
}

func (f *Filter) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// record records how long the response to a request took.
func (f *Filter) record(r *pipe.Request, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.routes[routeOf(r)]
	if d == nil {
		if len(f.routes) >= maxRoutes {
			clear(f.routes)
		}
		d = &durations{}
		f.routes[routeOf(r)] = d
	}
	d.add(now.Sub(r.ReceivedAt), now)
}

// routeOf returns the name under which durations of a request are kept.
func routeOf(r *pipe.Request) string {
	if r.Route != nil {
		return r.Route.Name
	}
	return r.Service.Name
}
