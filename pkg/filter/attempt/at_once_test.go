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

// A request that is given up is answered at once, also when the agent doesn't
// answer the cancellation.
func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	answered := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			select {
			case <-answered:
			case <-t.Context().Done():
			}
			return
		}
		final := finalFrame(api.OutcomeNotRun, problem.ReasonNoRoom)
		final.Refusal.Permanent = true
		_ = json.NewEncoder(w).Encode(final)
	}))
	t.Cleanup(s.Close)
	h := New(Config{SilenceTimeout: time.Minute, AskTimeout: time.Hour, RetryBurst: 1},
		&agentsInTurn{addresses: []string{s.URL}}, NewAgentTransport(peer.NewAgentClient("token")), prometheus.NewRegistry())
	go func() {
		defer close(answered)
		expectRefusal(t, h, problem.ReasonNoRoom, problem.RanNo, http.StatusServiceUnavailable)
	}()
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Fatal("the answer waits for the agent")
	}
}
