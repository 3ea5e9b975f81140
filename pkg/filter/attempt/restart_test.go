package attempt

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// agentsInTurn hands out agents in the given order.
type agentsInTurn struct {
	mu        sync.Mutex
	addresses []string
}

func (a *agentsInTurn) Acquire(context.Context, scheduler.Request) (fleet.Upstream, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.addresses) == 0 {
		return fleet.Upstream{}, problem.New(problem.ReasonNoUpstream, "")
	}
	u := fleet.Upstream{Address: a.addresses[0]}
	a.addresses = a.addresses[1:]
	return u, nil
}
func (a *agentsInTurn) RecordPart(string)                           {}
func (a *agentsInTurn) RecordStart(string)                          {}
func (a *agentsInTurn) Release(string, problem.Reason)              {}
func (a *agentsInTurn) RecordReport(api.Report)                     {}
func (a *agentsInTurn) ReconcileCost(_, _ string, _ int, _ float64) {}

// heldReply holds the answer back, or relays it at once.
type heldReply struct {
	relays bool
	body   string
}

func (r *heldReply) SetHeader(int, http.Header) error { return nil }
func (r *heldReply) WriteData(part []byte) error      { r.body += string(part); return nil }
func (r *heldReply) Finish() error                    { return nil }
func (r *heldReply) HasStarted() bool                 { return r.relays && r.body != "" }
func (r *heldReply) Restart()                         { r.body = "" }

// newAgent answers with the parts, and then ends the answer or breaks it off
// and is gone.
func newAgent(t *testing.T, whole bool, parts ...string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != peer.PathAttempts {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		encoder := json.NewEncoder(w)
		sum := stream.NewChecksum()
		_ = encoder.Encode(api.Frame{Kind: api.FrameHead, RequestID: "r", Status: http.StatusOK})
		for i, part := range parts {
			sum.Add([]byte(part))
			_ = encoder.Encode(api.Frame{Kind: api.FrameData, RequestID: "r", Seq: i + 1, Data: []byte(part)})
		}
		if whole {
			_ = encoder.Encode(api.Frame{Kind: api.FrameFinal, RequestID: "r", Outcome: api.OutcomeComplete, Count: sum.Count(), Checksum: sum.Sum()})
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// An idempotent answer that breaks off is run again elsewhere. Once a part of it
// has reached the caller, the new answer must begin with that part.
func TestBrokenAnswerRestarts(t *testing.T) {
	for _, tc := range []struct {
		name    string
		relays  bool
		first   string
		reason  problem.Reason
		wantGot string
	}{
		{"held back", false, "lost", "", "one two"},
		{"relayed, another answer", true, "lost", problem.ReasonStreamBroken, "lost"},
		{"relayed, the same answer", true, "one ", "", "one two"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			agents := &agentsInTurn{addresses: []string{newAgent(t, false, tc.first), newAgent(t, true, "one ", "two")}}
			h := New(Config{SilenceTimeout: 5 * time.Second, AskTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
				agents, NewAgentTransport(peer.NewAgentClient("token")), prometheus.NewRegistry())
			reply := &heldReply{relays: tc.relays}
			err := h.Serve(t.Context(), &pipe.Request{
				ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
				Idempotent: true, Deadline: time.Now().Add(time.Minute), Reply: reply,
			})
			var p *problem.Problem
			reason := problem.Reason("")
			if errors.As(err, &p) {
				reason = p.Reason
			}
			if reason != tc.reason || reply.body != tc.wantGot {
				t.Errorf("got %q and reason %q, want %q and %q", reply.body, reason, tc.wantGot, tc.reason)
			}
		})
	}
}
