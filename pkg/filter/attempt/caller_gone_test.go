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

// releaseRecorder records for each released attempt whether it failed.
type releaseRecorder struct {
	sequentialAgents
	failed []bool
}

func (r *releaseRecorder) Release(_ string, failure problem.Reason) {
	r.failed = append(r.failed, failure != "")
}

// TestCallerGoneCancelsAttempt checks that an attempt is cancelled at the agent at once
// when its caller disconnects, and that this doesn't count as a failure of the upstream.
func TestCallerGoneCancelsAttempt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path
			return
		}
		_ = json.NewEncoder(w).Encode(api.Frame{Kind: api.FrameHeader, RequestID: "r", Status: http.StatusOK})
		_ = http.NewResponseController(w).Flush()
		cancel()
		<-r.Context().Done()
	}))
	defer s.Close()
	f := &releaseRecorder{sequentialAgents: sequentialAgents{addresses: []string{s.URL}}}
	h := New(Config{SilenceTimeout: time.Minute, StatusQueryTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
		f, NewAgentTransport(peer.NewAgentClient("token")), prometheus.NewRegistry())
	err := h.Serve(ctx, &pipe.Request{
		ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
		Idempotent: true, Deadline: time.Now().Add(time.Minute), Reply: &fakeReply{},
	})
	var p *problem.Problem
	if !errors.As(err, &p) || p.Reason != problem.ReasonCallerGone {
		t.Errorf("got error %v, want the reason for a caller that has gone", err)
	}
	if path := <-cancelled; path != peer.PathAttempts+"/r" {
		t.Errorf("cancelled %s, want the attempt of request r", path)
	}
	if len(f.failed) != 1 || f.failed[0] {
		t.Errorf("released as failed: %v", f.failed)
	}
}
