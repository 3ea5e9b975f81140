package sessions

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/objectapi"
	"github.com/acaciaglade/acaciaglade/lab/orders"
	"github.com/acaciaglade/acaciaglade/lab/session"
)

// waitFor polls a condition until it holds, and fails the test after 20 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("timed out waiting until: %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// callUnrecorded makes a call outside the recorded session and decodes its response
// into out.
func callUnrecorded(t *testing.T, method, url string, out any) {
	t.Helper()
	_, body, err := (&session.Recorder{}).Start(t.Context(), session.Call{Method: method, URL: url}).WaitUnrecorded()
	if err == nil && out != nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// orderSession is a session of a caller that confirms orders, which is not idempotent.
type orderSession struct {
	*session.Recorder
	t      *testing.T
	d      *deploy.Deployment
	orders *deploy.Process
}

func newOrderSession(t *testing.T, cfg deploy.Config) *orderSession {
	t.Helper()
	d := startDeployment(t, cfg)
	return &orderSession{Recorder: &session.Recorder{}, t: t, d: d, orders: d.Upstreams[cfg.Models]}
}

func (v *orderSession) orderAgent() *deploy.Process { return v.d.Agents[len(v.d.Agents)-1] }

func (v *orderSession) confirmCall(entry int, header ...string) session.Call {
	return session.Call{
		Method: "POST", URL: v.d.Entries[entry].URL() + "/services/orders/orders/confirm",
		Token: demo.Token("franchise"), Header: header, Body: `{"item":"balloons"}`,
	}
}

// confirm starts the confirmation of an order through an entry.
func (v *orderSession) confirm(entry int, header ...string) *session.Pending {
	return v.Start(v.t.Context(), v.confirmCall(entry, header...))
}

// hold makes the order service hold back its responses, and release sends them.
func (v *orderSession) hold()    { callUnrecorded(v.t, "PUT", v.orders.URL()+"/lab/hold", nil) }
func (v *orderSession) release() { callUnrecorded(v.t, "PUT", v.orders.URL()+"/lab/release", nil) }

func (v *orderSession) journal() (entries []orders.Entry) {
	callUnrecorded(v.t, "GET", v.orders.URL()+"/lab/journal", &entries)
	return entries
}

// waitForRuns waits until the order service has started n confirmations.
func (v *orderSession) waitForRuns(n int) {
	waitFor(v.t, "the order service has started the confirmation", func() bool { return len(v.journal()) == n })
}

// repeatUntilConfirmed repeats a confirmation until it succeeds, then records one
// more.
func (v *orderSession) repeatUntilConfirmed(entry int, header ...string) {
	waitFor(v.t, "the order is confirmed", func() bool {
		status, _, _ := (&session.Recorder{}).Start(v.t.Context(), v.confirmCall(entry, header...)).WaitUnrecorded()
		return status == http.StatusOK
	})
	v.confirm(entry, header...).Wait()
}

// waitUntilServed waits until an idempotent request is served.
func (v *orderSession) waitUntilServed() {
	c := session.Call{Method: "GET", URL: v.d.Entries[0].URL() + "/services/orders/orders/1", Token: demo.Token("franchise")}
	waitFor(v.t, "an idempotent request is served", func() bool {
		status, _, _ := (&session.Recorder{}).Start(v.t.Context(), c).WaitUnrecorded()
		return status == http.StatusOK
	})
}

func (v *orderSession) setFaults(f objectapi.Faults) {
	if err := deploy.PutJSON(v.t.Context(), v.d.Objects.URL()+"/lab/faults", f); err != nil {
		v.t.Fatal(err)
	}
}

// assertSession records how many orders ran and compares the session with its golden
// file.
func (v *orderSession) assertSession() {
	v.Note("orders that the order service ran: %d", len(v.journal()))
	assertGolden(v.t, v.Recorder)
}

func (v *orderSession) sendSignal(p *deploy.Process, s syscall.Signal) {
	if err := p.Signal(s); err != nil {
		v.t.Fatal(err)
	}
}

// TestTruthAgentKilled guards against a second run of an order whose agent was killed
// while the order ran.
func TestTruthAgentKilled(t *testing.T) {
	v := newOrderSession(t, deploy.Config{Entries: 1, Orders: 1})
	v.hold()
	v.Note("the agent is killed while a confirmation runs")
	p := v.confirm(0, "Idempotency-Key", "order-1")
	v.waitForRuns(1)
	v.sendSignal(v.orderAgent(), syscall.SIGKILL)
	p.Wait()
	if err := v.orderAgent().Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := v.d.Restart(v.orderAgent()); err != nil {
		t.Fatal(err)
	}
	v.release()
	v.waitUntilServed()
	v.Note("the same key again, after the agent's restart")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.assertSession()
}

// TestTruthAgentPaused guards against an agent that, when it resumes, dispatches an order
// whose deadline has passed.
func TestTruthAgentPaused(t *testing.T) {
	v := newOrderSession(t, deploy.Config{Entries: 1, Orders: 1})
	v.setFaults(objectapi.Faults{DelayMillis: 1000})
	var before objectapi.Counts
	callUnrecorded(t, "GET", v.d.Objects.URL()+"/lab/counts", &before)
	v.Note("the agent is paused between claim and dispatch, until after the deadline")
	p := v.confirm(0, "Idempotency-Key", "order-1", "X-Deadline-Ms", "1500")
	waitFor(t, "the claim is written", func() bool {
		var counts objectapi.Counts
		callUnrecorded(t, "GET", v.d.Objects.URL()+"/lab/counts", &counts)
		return counts.Writes > before.Writes
	})
	v.sendSignal(v.orderAgent(), syscall.SIGSTOP)
	p.Wait()
	v.Note("orders that the order service ran: %d", len(v.journal()))
	v.setFaults(objectapi.Faults{})
	v.sendSignal(v.orderAgent(), syscall.SIGCONT)
	v.Note("the agent is resumed; the same key again")
	v.repeatUntilConfirmed(0, "Idempotency-Key", "order-1")
	v.assertSession()
}

// TestTruthStoreLosesAnswers guards against an order that is refused or runs twice because
// the response to the write of its claim was lost.
func TestTruthStoreLosesAnswers(t *testing.T) {
	v := newOrderSession(t, deploy.Config{Entries: 1, Orders: 1})
	v.setFaults(objectapi.Faults{DropResponses: true})
	v.Note("the response to every write of the object API is lost after the write took effect")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.assertSession()
}

// TestTruthStoreDown checks that only requests with an idempotency key are refused while
// no claim can be written.
func TestTruthStoreDown(t *testing.T) {
	v := newOrderSession(t, deploy.Config{Entries: 1, Models: 1, Orders: 1})
	v.setFaults(objectapi.Faults{Down: true})
	v.Note("the object API is down; requests with a key are refused")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.Note("all other requests are served")
	v.confirm(0).Wait()
	token, entry := demo.Token("franchise"), v.d.Entries[0].URL()
	mustCall(t, v.Recorder, session.Call{Method: "GET", URL: entry + "/services/orders/orders/17", Token: token})
	mustCall(t, v.Recorder, session.Call{Method: "POST", URL: entry + "/v1/chat/completions", Token: token, Body: `{"model":"draft","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`})
	v.Note("orders that the order service ran: %d", len(v.journal()))
	v.setFaults(objectapi.Faults{})
	v.Note("the object API has recovered; the same key again")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.assertSession()
}

// pairBody returns the body of call i; two successive calls have the same key and
// body.
func pairBody(i int) string { return fmt.Sprintf(`{"item":"both-%d"}`, i/2) }

// TestTruthSameKeyThroughTwoEntries guards against a second run of an order whose key is
// sent through two entries at once, and against a confirmation of one that did not run.
func TestTruthSameKeyThroughTwoEntries(t *testing.T) {
	v := newOrderSession(t, deploy.Config{Entries: 2, Orders: 2})
	v.hold()
	for _, o := range v.d.Upstreams[1:] {
		callUnrecorded(t, "PUT", o.URL()+"/lab/hold", nil)
	}
	runs := func() (all []orders.Entry) {
		for _, o := range v.d.Upstreams {
			var entries []orders.Entry
			callUnrecorded(t, "GET", o.URL()+"/lab/journal", &entries)
			all = append(all, entries...)
		}
		return all
	}
	first := v.confirm(0, "Idempotency-Key", "order-1")
	waitFor(t, "the first confirmation runs", func() bool { return len(runs()) == 1 })
	v.Note("the same key through the other entry")
	v.confirm(1, "Idempotency-Key", "order-1").Wait()
	for _, o := range v.d.Upstreams {
		callUnrecorded(t, "PUT", o.URL()+"/lab/release", nil)
	}
	v.Note("the response to the first call, and the same key again")
	first.Wait()
	v.confirm(1, "Idempotency-Key", "order-1").Wait()
	const keys = 20
	var pending []*session.Pending
	for i := range 2 * keys {
		c := v.confirmCall(i%2, "Idempotency-Key", fmt.Sprintf("both-%d", i/2))
		c.Body = pairBody(i)
		pending = append(pending, (&session.Recorder{}).Start(t.Context(), c))
	}
	confirmed := make(map[string]bool)
	for i, p := range pending {
		if status, _, _ := p.WaitUnrecorded(); status == http.StatusOK {
			confirmed[pairBody(i)] = true
		}
	}
	ran := make(map[string]int)
	repeated := 0
	for _, run := range runs() {
		ran[run.Body]++
		if ran[run.Body] > 1 {
			repeated++
		}
	}
	notRun := 0
	for body := range confirmed {
		if ran[body] == 0 {
			notRun++
		}
	}
	t.Logf("%d keys confirmed", len(confirmed))
	v.Note("%d keys through both entries at once: %d runs repeated, %d confirmed but not run", keys, repeated, notRun)
	assertGolden(t, v.Recorder)
}

// TestTruthEntryCutOff guards against a false report of an order that runs while its
// connection is blackholed or its entry is cut off from the agent.
func TestTruthEntryCutOff(t *testing.T) {
	v := newOrderSession(t, deploy.Config{Entries: 1, Orders: 1, Links: true, EntryArgs: []string{"--silence", "700ms"}, AgentArgs: []string{"--heartbeat", "100ms"}})
	l, err := v.d.Link("entry-0", v.orderAgent().Name)
	if err != nil {
		t.Fatal(err)
	}
	v.hold()
	v.Note("the connection stops forwarding while a confirmation runs")
	p := v.confirm(0, "Idempotency-Key", "order-1")
	v.waitForRuns(1)
	l.BlackholeOpen()
	v.release()
	p.Wait()
	v.hold()
	v.Note("the entry is cut off while a confirmation runs")
	p = v.confirm(0, "Idempotency-Key", "order-2")
	v.waitForRuns(2)
	l.Cut()
	p.Wait()
	v.release()
	l.Heal()
	v.Note("the same key again")
	v.repeatUntilConfirmed(0, "Idempotency-Key", "order-2")
	v.assertSession()
}
