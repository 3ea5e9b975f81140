package attempt

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
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

// releases keeps what the filter says of its attempts' ends.
type releases struct {
	agentsInTurn
	failed []bool
}

func (r *releases) Release(_ string, failure problem.Reason) {
	r.failed = append(r.failed, failure != "")
}

// A caller who goes away is cancelled at the agent at once, and is no failure of
// the upstream.
func TestCallerGone(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	cancelled := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path
			return
		}
		_ = json.NewEncoder(w).Encode(api.Frame{Kind: api.FrameHead, RequestID: "r", Status: http.StatusOK})
		_ = http.NewResponseController(w).Flush()
		leave()
		<-r.Context().Done()
	}))
	defer s.Close()
	f := &releases{agentsInTurn: agentsInTurn{addresses: []string{s.URL}}}
	h := New(Config{SilenceTimeout: time.Minute, AskTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
		f, NewAgentTransport(peer.NewAgentClient("token")), prometheus.NewRegistry())
	err := h.Serve(ctx, &pipe.Request{
		ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
		Idempotent: true, Deadline: time.Now().Add(time.Minute), Reply: &heldReply{},
	})
	var p *problem.Problem
	if !errors.As(err, &p) || p.Reason != problem.ReasonCallerGone {
		t.Errorf("told %v", err)
	}
	if path := <-cancelled; path != peer.PathAttempts+"/r" {
		t.Errorf("cancelled %s", path)
	}
	if len(f.failed) != 1 || f.failed[0] {
		t.Errorf("released as failed: %v", f.failed)
	}
}
