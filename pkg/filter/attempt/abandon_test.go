package attempt

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// TestRefusalDoesNotWaitForAbandon checks that a request is refused at once even if the
// agent doesn't respond to the cancellation of its attempt.
func TestRefusalDoesNotWaitForAbandon(t *testing.T) {
	refused := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			select {
			case <-refused:
			case <-t.Context().Done():
			}
			return
		}
		final := finalFrame(api.OutcomeNotRun, problem.ReasonNoRoom)
		final.Refusal.Permanent = true
		_ = json.NewEncoder(w).Encode(final)
	}))
	t.Cleanup(s.Close)
	h := New(Config{SilenceTimeout: time.Minute, StatusQueryTimeout: time.Hour, RetryBurst: 1},
		&sequentialAgents{addresses: []string{s.URL}}, NewAgentTransport(peer.NewAgentClient("token")), prometheus.NewRegistry())
	go func() {
		defer close(refused)
		expectRefusal(t, h, problem.ReasonNoRoom, problem.RanNo, http.StatusServiceUnavailable)
	}()
	select {
	case <-refused:
	case <-time.After(10 * time.Second):
		t.Fatal("the refusal waits for the agent")
	}
}
