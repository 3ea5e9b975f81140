package sessions

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/lab/session"
)

// chatTokens is the length of the responses in these sessions.
const chatTokens = 20

// chatConfig returns a deployment with slow responses and short timeouts.
func chatConfig(models int) deploy.Config {
	return deploy.Config{
		Entries: 1, Models: models, Links: true,
		EngineArgs: []string{"--step", "50ms", "--cold-factor", "1"},
		EntryArgs:  []string{"--silence", "700ms"},
		AgentArgs:  []string{"--heartbeat", "100ms", "--orphan", "1s", "--healthy-step", "1s"},
	}
}

func chatCall(d *deploy.Deployment, streamed bool) session.Call {
	return session.Call{
		Method: "POST", URL: d.Entries[0].URL() + "/v1/chat/completions", Token: demo.Token("franchise"),
		Body: fmt.Sprintf(`{"model":"draft","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"word"}]}`, streamed, chatTokens),
	}
}

// agentLink returns the link from the entry to the first agent.
func agentLink(t *testing.T, d *deploy.Deployment) *link.Link {
	t.Helper()
	l, err := d.Link("entry-0", d.Agents[0].Name)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runningRequests returns the number of requests that an engine runs.
func runningRequests(t *testing.T, engine *deploy.Process) int {
	t.Helper()
	var load struct {
		Running int `json:"running"`
	}
	callUnrecorded(t, "GET", engine.URL()+"/v1/load", &load)
	return load.Running
}

// summariseStream describes a streamed response. The description doesn't depend on when
// the failure was injected.
func summariseStream(body []byte) string {
	got, ending := 0, "no last event"
	for _, event := range bytes.Split(body, []byte("\n\n")) {
		text := string(event)
		switch {
		case strings.HasPrefix(text, "event: error"):
			ending = text
		case text == "data: [DONE]":
			ending = text
		case strings.Contains(text, fmt.Sprintf("word-%d ", got+1)):
			got++
		case text != "":
			return "gap, repeat or unexpected event: " + text
		}
	}
	if got < chatTokens {
		return "some of the tokens, without gap or repeat, then\n" + ending
	}
	return fmt.Sprintf("all %d tokens, without gap or repeat, then\n%s", got, ending)
}

// TestTruthSilentStreamResumes checks that a stream whose connection is blackholed
// resumes on a new connection.
func TestTruthSilentStreamResumes(t *testing.T) {
	d := startDeployment(t, chatConfig(1))
	r := &session.Recorder{}
	r.Note("all open connections to the agent stop forwarding in the middle of the response, twice")
	p := r.Start(t.Context(), chatCall(d, true))
	<-p.FirstPart()
	agentLink(t, d).BlackholeOpen()
	half := fmt.Sprintf("word-%d ", chatTokens/2)
	waitFor(t, "half of the response has arrived", func() bool { return strings.Contains(p.Text(), half) })
	agentLink(t, d).BlackholeOpen()
	_, body, err := p.WaitUnrecorded()
	r.Line("%s; error: %v", summariseStream(body), err)
	assertGolden(t, r)
}

// TestTruthBrokenConnectionResumes checks that a response resumes on a new connection,
// wherever the first one breaks.
func TestTruthBrokenConnectionResumes(t *testing.T) {
	d := startDeployment(t, chatConfig(1))
	r := &session.Recorder{}
	for _, n := range []int{1, 200, 500, 1000, 2000, 4000} {
		r.Note("a connection to the agent breaks after %d bytes", n)
		agentLink(t, d).BreakAfter(n)
		_, body, err := r.Start(t.Context(), chatCall(d, true)).WaitUnrecorded()
		r.Line("%s; error: %v", summariseStream(body), err)
	}
	assertGolden(t, r)
}

// killInStream kills a process in the middle of a streamed response.
func killInStream(t *testing.T, what string, victim func(d *deploy.Deployment) *deploy.Process) {
	d := startDeployment(t, chatConfig(1))
	r := &session.Recorder{}
	r.Note("%s is killed in the middle of a streamed response", what)
	p := r.Start(t.Context(), chatCall(d, true))
	<-p.FirstPart()
	if err := victim(d).Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	_, body, err := p.WaitUnrecorded()
	r.Line("%s\nerror: %v", summariseStream(body), err)
	assertGolden(t, r)
}

func TestTruthAgentKilledInStream(t *testing.T) {
	killInStream(t, "the agent", func(d *deploy.Deployment) *deploy.Process { return d.Agents[0] })
}

func TestTruthEngineKilledInStream(t *testing.T) {
	killInStream(t, "the engine", func(d *deploy.Deployment) *deploy.Process { return d.Upstreams[0] })
}

// killDuringResponse kills a process of one of two upstreams while it produces a
// response that isn't streamed, so that nothing has reached the caller. The other
// upstream must serve the request.
func killDuringResponse(t *testing.T, what string, victim func(d *deploy.Deployment, i int) *deploy.Process) {
	d := startDeployment(t, chatConfig(2))
	r := &session.Recorder{}
	r.Note("%s is killed while it produces a response that is not streamed", what)
	p := r.Start(t.Context(), chatCall(d, false))
	busy := -1
	waitFor(t, "an engine runs the request", func() bool {
		for i, u := range d.Upstreams {
			if runningRequests(t, u) > 0 {
				busy = i
			}
		}
		return busy >= 0
	})
	if err := victim(d, busy).Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	p.Wait()
	assertGolden(t, r)
}

func TestTruthAnswerRestartsElsewhere(t *testing.T) {
	killDuringResponse(t, "the agent", func(d *deploy.Deployment, i int) *deploy.Process { return d.Agents[i] })
}

func TestTruthTruncatedEngineStream(t *testing.T) {
	killDuringResponse(t, "the engine", func(d *deploy.Deployment, i int) *deploy.Process { return d.Upstreams[i] })
}

// longChatCall returns a call whose response takes longer than the test's failures.
func longChatCall(d *deploy.Deployment) session.Call {
	c := chatCall(d, true)
	c.Body = strings.Replace(c.Body, fmt.Sprint(chatTokens), "2000", 1)
	return c
}

// TestTruthAbandonedAnswerIsCancelled checks that the engine doesn't go on with a
// response that no entry reads.
func TestTruthAbandonedAnswerIsCancelled(t *testing.T) {
	d := startDeployment(t, chatConfig(1))
	r := &session.Recorder{}
	r.Note("the entry is killed in the middle of a response")
	p := r.Start(t.Context(), longChatCall(d))
	<-p.FirstPart()
	if err := d.Entries[0].Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	_, body, err := p.WaitUnrecorded()
	r.Line("%s; aborted: %t", summariseStream(body), err != nil)
	waitFor(t, "the engine runs no request", func() bool { return runningRequests(t, d.Upstreams[0]) == 0 })
	r.Note("the engine runs no request")
	assertGolden(t, r)
}

// TestTruthCallerGoneIsCancelled checks that the engine doesn't go on with a response
// whose caller has disconnected.
func TestTruthCallerGoneIsCancelled(t *testing.T) {
	d := startDeployment(t, chatConfig(1))
	r := &session.Recorder{}
	ctx, disconnect := context.WithCancel(t.Context())
	r.Note("the caller disconnects in the middle of a response")
	p := r.Start(ctx, longChatCall(d))
	<-p.FirstPart()
	disconnect()
	<-p.Done()
	waitFor(t, "the engine runs no request", func() bool { return runningRequests(t, d.Upstreams[0]) == 0 })
	r.Note("the engine runs no request")
	assertGolden(t, r)
}
