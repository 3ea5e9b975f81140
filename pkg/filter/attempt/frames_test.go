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
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// TestInvalidFramesResumeResponse checks that a connection is closed when it carries
// frames of another request, repeats or skips frames, or ends early, and that the response
// is resumed from the next expected frame.
func TestInvalidFramesResumeResponse(t *testing.T) {
	header := api.Frame{Kind: api.FrameHeader, RequestID: "r", Status: http.StatusOK}
	one := api.Frame{Kind: api.FrameData, RequestID: "r", Seq: 1, Data: []byte("one ")}
	two := api.Frame{Kind: api.FrameData, RequestID: "r", Seq: 2, Data: []byte("two")}
	sum := stream.NewChecksum()
	sum.Add(one.Data)
	sum.Add(two.Data)
	final := api.Frame{Kind: api.FrameFinal, RequestID: "r", Outcome: api.OutcomeComplete, Count: 2, Checksum: sum.Sum()}
	wrongCount := final
	wrongCount.Count = 1
	otherRequest := api.Frame{Kind: api.FrameData, RequestID: "other", Seq: 2, Data: []byte("secret")}
	otherRequestEnd := api.Frame{Kind: api.FrameFinal, RequestID: "other", Outcome: api.OutcomeComplete, Count: 1}
	for name, first := range map[string][]api.Frame{
		"frame of another request": {header, one, otherRequest, two, final},
		"end of another request":   {header, one, otherRequestEnd},
		"repeated frame":           {header, one, one, two, final},
		"missing frame":            {header, two, final},
		"early end":                {header, one},
		"wrong count":              {header, one, wrongCount},
		"no header":                {one, two, final},
	} {
		t.Run(name, func(t *testing.T) {
			address := scriptedAgent(t, first, []api.Frame{header, one, two, final})
			h := New(Config{SilenceTimeout: 5 * time.Second, StatusQueryTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
				&sequentialAgents{addresses: []string{address}}, NewAgentTransport(peer.NewAgentClient("token")), prometheus.NewRegistry())
			reply := &fakeReply{relays: true}
			err := h.Serve(t.Context(), &pipe.Request{
				ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{}, Deadline: time.Now().Add(time.Minute), Reply: reply,
			})
			if err != nil || reply.body != "one two" {
				t.Errorf("got %q and error %v", reply.body, err)
			}
		})
	}
}

// scriptedAgent returns the first frames for an attempt and the resumed ones for a resume.
// It replies to status queries that the request has finished.
func scriptedAgent(t *testing.T, first, resumed []api.Frame) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		encoder := json.NewEncoder(w)
		frames := resumed
		switch {
		case r.URL.Path == peer.PathWithdraw:
			_ = encoder.Encode(api.WithdrawReply{Outcome: api.OutcomeComplete})
			return
		case r.Method == http.MethodPost:
			frames = first
		}
		for _, f := range frames {
			_ = encoder.Encode(f)
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}
