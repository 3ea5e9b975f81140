package attempt

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// failingRequests is the number of requests that are sent to failing upstreams only.
const failingRequests = 400

// failingAgent responds to every attempt with the same final frame, or with status 503 if
// there is none.
func failingAgent(t *testing.T, final *api.Frame, attempts *atomic.Int32) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != peer.PathAttempts {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		attempts.Add(1)
		if final == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(final)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func finalFrame(outcome api.Outcome, reason problem.Reason) *api.Frame {
	return &api.Frame{Kind: api.FrameFinal, RequestID: "r", Outcome: outcome, Refusal: &api.Refusal{Reason: string(reason)}}
}

// retriesByReason returns the values of the retry counter by reason.
func retriesByReason(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			counts[m.GetLabel()[0].GetValue()] += m.GetCounter().GetValue()
		}
	}
	return counts
}

// TestRetriesStayWithinBudgetWhenAllFail guards against a retry storm while every attempt
// fails. It also checks the retries counted by reason and the refusals of the callers.
func TestRetriesStayWithinBudgetWhenAllFail(t *testing.T) {
	for _, tc := range []struct {
		name        string
		final       *api.Frame
		retryReason problem.Reason
		wantReason  problem.Reason
		wantRan     problem.Ran
		wantStatus  int
	}{
		{"refused", finalFrame(api.OutcomeNotRun, problem.ReasonNoRoom), problem.ReasonNoRoom, problem.ReasonNoRoom, problem.RanNo, 503},
		{"upstream failed", finalFrame(api.OutcomeUnknown, problem.ReasonUpstreamFailed), problem.ReasonUpstreamFailed, problem.ReasonUpstreamFailed, problem.RanUnknown, 502},
		{"agent broken", nil, problem.ReasonOutcomeUnknown, problem.ReasonOutcomeUnknown, problem.RanUnknown, 502},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var attempts atomic.Int32
			address := failingAgent(t, tc.final, &attempts)
			registry := prometheus.NewRegistry()
			fleet := &sequentialAgents{}
			for range 2 * failingRequests {
				fleet.addresses = append(fleet.addresses, address)
			}
			h := New(Config{SilenceTimeout: 5 * time.Second, StatusQueryTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
				fleet, NewAgentTransport(peer.NewAgentClient("token")), registry)
			var requests sync.WaitGroup
			for range failingRequests {
				requests.Go(func() { expectRefusal(t, h, tc.wantReason, tc.wantRan, tc.wantStatus) })
			}
			requests.Wait()
			if got := attempts.Load(); float64(got) >= 1.2*failingRequests {
				t.Errorf("%d attempts for %d requests", got, failingRequests)
			}
			counts := retriesByReason(t, registry)
			if len(counts) != 1 || counts[string(tc.retryReason)] != float64(attempts.Load()-failingRequests) {
				t.Errorf("retries counted: %v, attempts: %d", counts, attempts.Load())
			}
			t.Logf("%d attempts for %d requests, retries %v", attempts.Load(), failingRequests, counts)
		})
	}
}

// expectRefusal sends an idempotent request and checks the error for its caller.
func expectRefusal(t *testing.T, h pipe.Handler, reason problem.Reason, ran problem.Ran, status int) {
	err := h.Serve(t.Context(), &pipe.Request{
		ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
		Idempotent: true, Deadline: time.Now().Add(time.Minute), Reply: &fakeReply{},
	})
	var p *problem.Problem
	if !errors.As(err, &p) || p.Reason != reason || p.Ran != ran || p.Status != status || p.RetryAfterSeconds == 0 {
		t.Errorf("wrong or incomplete refusal: %+v", err)
	}
}
