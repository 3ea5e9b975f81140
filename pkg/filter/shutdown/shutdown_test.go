package shutdown

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// workFor returns a handler that takes a time, or ends with an error when its context does.
func workFor(took *time.Duration, err error) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		r.TriedUpstreams = append(r.TriedUpstreams, "u")
		select {
		case <-time.After(*took):
			return nil
		case <-ctx.Done():
			return err
		}
	})
}

func requestOf(route string, limit time.Duration) *pipe.Request {
	return &pipe.Request{Route: &table.Route{Name: route}, Service: &table.Service{}, ReceivedAt: time.Now(), Deadline: time.Now().Add(limit)}
}

// reasonOf returns the reason of a problem, or an empty string.
func reasonOf(err error) problem.Reason {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p.Reason
	}
	return ""
}

// TestFilterLearnsFromResponses checks that estimates come from responses of the same route, and
// that requests of a route without any are refused as not run.
func TestFilterLearnsFromResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := time.Second
		f := New(prometheus.NewRegistry())
		h := f.Wrap(workFor(&took, nil))
		for range minSamples {
			if err := h.Serve(t.Context(), requestOf("known", time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		f.Begin(NewPlan(time.Now(), 10*time.Second))
		f.Begin(NewPlan(time.Now(), time.Hour))
		if err := h.Serve(t.Context(), requestOf("known", time.Minute)); err != nil {
			t.Errorf("known route: %v", err)
		}
		err := h.Serve(t.Context(), requestOf("new", time.Minute))
		var p *problem.Problem
		if !errors.As(err, &p) || p.Reason != problem.ReasonStopping || p.Ran != problem.RanNo || p.Status != 503 {
			t.Errorf("route without responses: %v, want a refusal as not run", err)
		}
		time.Sleep(4 * time.Second)
		if err := h.Serve(t.Context(), requestOf("known", time.Minute)); reasonOf(err) != problem.ReasonStopping {
			t.Errorf("late request: %v, want a refusal", err)
		}
		if f.Running() != 0 {
			t.Errorf("%d requests run", f.Running())
		}
	})
}

// TestEndedRequestsGetTruthfulProblems guards against requests without any response at the end
// of the process. A request that only waited is refused as not run, another one ends with the
// problem that says what is known.
func TestEndedRequestsGetTruthfulProblems(t *testing.T) {
	for _, tc := range []struct{ err, want error }{
		{problem.New(problem.ReasonDeadlineExceeded, ""), problem.New(problem.ReasonStopping, "")},
		{problem.New(problem.ReasonDeadlineExceeded, "").WithRan(problem.RanUnknown), problem.New(problem.ReasonDeadlineExceeded, "")},
		{problem.New(problem.ReasonOutcomeUnknown, ""), problem.New(problem.ReasonOutcomeUnknown, "")},
		{problem.New(problem.ReasonStreamBroken, ""), problem.New(problem.ReasonStreamBroken, "")},
	} {
		synctest.Test(t, func(t *testing.T) {
			took := time.Hour
			f := New(prometheus.NewRegistry())
			h := f.Wrap(workFor(&took, tc.err))
			result := make(chan error, 1)
			go func() { result <- h.Serve(t.Context(), requestOf("r", 2*time.Hour)) }()
			synctest.Wait()
			f.Begin(NewPlan(time.Now(), 10*time.Second))
			if f.Running() != 1 {
				t.Fatalf("%d requests run", f.Running())
			}
			f.End()
			if err := <-result; reasonOf(err) != reasonOf(tc.want) || f.Running() != 0 {
				t.Errorf("%v ends as %v, want %v", tc.err, err, tc.want)
			}
		})
	}
}
