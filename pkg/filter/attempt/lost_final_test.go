package attempt

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/relay"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// restartedAgent sends the first frames for the first attempt, and then behaves as after a restart
// under its address.
type restartedAgent struct {
	first []api.Frame
	// frozen makes the first connection stay open without further frames.
	frozen bool
	// status is the reply to status queries, none if it is empty.
	status api.Outcome
	// later are the frames of a resumed response and of further attempts.
	later []api.Frame

	attempts int
}

// ServeHTTP implements http.Handler. The entry makes one call at a time.
func (a *restartedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	encoder, frames := json.NewEncoder(w), a.later
	switch {
	case r.URL.Path == peer.PathWithdraw && a.status == "":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Path == peer.PathWithdraw:
		_ = encoder.Encode(api.WithdrawReply{Outcome: a.status})
		return
	case r.Method == http.MethodDelete:
		return
	case r.Method == http.MethodPost:
		if a.attempts++; a.attempts == 1 {
			frames = a.first
		}
	}
	for i := range frames {
		_ = encoder.Encode(&frames[i])
	}
	if r.Method == http.MethodPost && a.attempts == 1 && a.frozen {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// TestStreamWithoutFinalFrameIsBrokenOff guards against a stream that looks complete because its
// agent ended, was restarted under its address, or stood still after the last part and before
// the final frame.
func TestStreamWithoutFinalFrameIsBrokenOff(t *testing.T) {
	header := api.Frame{Kind: api.FrameHeader, RequestID: "r", Status: http.StatusOK}
	part := api.Frame{Kind: api.FrameData, RequestID: "r", Seq: 1, Data: []byte("one")}
	other := api.Frame{Kind: api.FrameData, RequestID: "r", Seq: 1, Data: []byte("two")}
	final := func(parts ...api.Frame) api.Frame {
		sum := stream.NewChecksum()
		for _, p := range parts {
			sum.Add(p.Data)
		}
		return api.Frame{Kind: api.FrameFinal, RequestID: "r", Outcome: api.OutcomeComplete, Count: sum.Count(), Checksum: sum.Sum()}
	}
	unknown := api.Frame{Kind: api.FrameFinal, RequestID: "r", Outcome: api.OutcomeUnknown}
	for name, later := range map[string][]api.Frame{
		"no frames":                              nil,
		"a response that is not known":           {unknown},
		"the header":                             {header},
		"the same part without an end":           {header, part},
		"the end of a response without parts":    {header, final()},
		"the end of another run":                 {header, final(other)},
		"another run":                            {header, other, final(other)},
		"a heartbeat":                            {{Kind: api.FrameHeartbeat, RequestID: "r"}},
		"the end of another request's response":  {{Kind: api.FrameFinal, RequestID: "other", Outcome: api.OutcomeComplete}},
		"the end of a response that was refused": {{Kind: api.FrameFinal, RequestID: "r", Outcome: api.OutcomeNotRun}},
	} {
		for _, tc := range []struct {
			status api.Outcome
			frozen bool
		}{
			{"", false},
			{api.OutcomeComplete, false},
			{api.OutcomeRunning, false},
			{api.OutcomeNotRun, false},
			{api.OutcomeUnknown, false},
			{"", true},
			{api.OutcomeComplete, true},
		} {
			t.Run(fmt.Sprintf("%s, status %q, frozen %v", name, tc.status, tc.frozen), func(t *testing.T) {
				t.Parallel()
				s := httptest.NewServer(&restartedAgent{first: []api.Frame{header, part}, frozen: tc.frozen, status: tc.status, later: later})
				t.Cleanup(s.Close)
				h := New(Config{SilenceTimeout: 2 * time.Second, StatusQueryTimeout: time.Second, RetryRatio: 1, RetryBurst: 10},
					&sequentialAgents{addresses: []string{s.URL, s.URL}}, NewAgentTransport(peer.NewAgentClient("token")), prometheus.NewRegistry())
				r := &pipe.Request{ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{}, Streamed: true, Idempotent: true, Deadline: time.Now().Add(time.Minute)}
				w := &streamWriter{}
				response := relay.New(w, r, httptest.NewRequest(http.MethodPost, "/", http.NoBody))
				r.Reply = response
				if !endResponse(t, h, r, response) || strings.HasSuffix(w.body, endMarker) {
					t.Errorf("the caller got %q, complete", w.body)
				}
			})
		}
	}
}
