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

// waitFor waits until fn reports true.
func waitFor(t *testing.T, what string, fn func() bool) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for !fn() {
		select {
		case <-deadline:
			t.Fatalf("not seen: %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// quiet makes a call that is not part of the record.
func quiet(t *testing.T, method, url string, out any) {
	t.Helper()
	_, body, err := (&session.Recorder{}).Start(t.Context(), session.Call{Method: method, URL: url}).WaitUnrecorded()
	if err == nil && out != nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// visit is a session of a caller whose work is not idempotent.
type visit struct {
	*session.Recorder
	t      *testing.T
	d      *deploy.Deployment
	orders *deploy.Process
}

func newVisit(t *testing.T, shape deploy.Config) *visit {
	t.Helper()
	d := start(t, shape)
	return &visit{Recorder: &session.Recorder{}, t: t, d: d, orders: d.Upstreams[shape.Models]}
}

func (v *visit) agent() *deploy.Process { return v.d.Agents[len(v.d.Agents)-1] }

func (v *visit) confirmCall(entry int, header ...string) session.Call {
	return session.Call{
		Method: "POST", URL: v.d.Entries[entry].URL() + "/services/orders/orders/confirm",
		Token: demo.Token("franchise"), Header: header, Body: `{"item":"balloons"}`,
	}
}

// confirm starts the confirmation of a job.
func (v *visit) confirm(entry int, header ...string) *session.Pending {
	return v.Start(v.t.Context(), v.confirmCall(entry, header...))
}

func (v *visit) hold()    { quiet(v.t, "PUT", v.orders.URL()+"/lab/hold", nil) }
func (v *visit) release() { quiet(v.t, "PUT", v.orders.URL()+"/lab/release", nil) }

func (v *visit) journal() (entries []orders.Entry) {
	quiet(v.t, "GET", v.orders.URL()+"/lab/journal", &entries)
	return entries
}

// untilRun waits until the order service has received n confirmations.
func (v *visit) untilRun(n int) {
	waitFor(v.t, "confirmation at the order service", func() bool { return len(v.journal()) == n })
}

// untilConfirmed repeats a confirmation until it is answered, and records the
// last answer.
func (v *visit) untilConfirmed(entry int, header ...string) {
	waitFor(v.t, "confirmed", func() bool {
		status, _, _ := (&session.Recorder{}).Start(v.t.Context(), v.confirmCall(entry, header...)).WaitUnrecorded()
		return status == http.StatusOK
	})
	v.confirm(entry, header...).Wait()
}

// untilServed waits until idempotent work is served.
func (v *visit) untilServed() {
	c := session.Call{Method: "GET", URL: v.d.Entries[0].URL() + "/services/orders/orders/1", Token: demo.Token("franchise")}
	waitFor(v.t, "idempotent work served", func() bool {
		status, _, _ := (&session.Recorder{}).Start(v.t.Context(), c).WaitUnrecorded()
		return status == http.StatusOK
	})
}

func (v *visit) faults(f objectapi.Faults) {
	if err := deploy.PutJSON(v.t.Context(), v.d.Objects.URL()+"/lab/faults", f); err != nil {
		v.t.Fatal(err)
	}
}

// end records what ran and compares the session with its golden file.
func (v *visit) end() {
	v.Note("the order service ran %d", len(v.journal()))
	golden(v.t, v.Recorder)
}

func (v *visit) signal(p *deploy.Process, s syscall.Signal) {
	if err := p.Signal(s); err != nil {
		v.t.Fatal(err)
	}
}

func TestTruthAgentKilled(t *testing.T) {
	v := newVisit(t, deploy.Config{Entries: 1, Orders: 1})
	v.hold()
	v.Note("the agent is killed while a confirmation runs")
	p := v.confirm(0, "Idempotency-Key", "order-1")
	v.untilRun(1)
	v.signal(v.agent(), syscall.SIGKILL)
	p.Wait()
	if err := v.agent().Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := v.d.Restart(v.agent()); err != nil {
		t.Fatal(err)
	}
	v.release()
	v.untilServed()
	v.Note("the same key again, after the agent's restart")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.end()
}

func TestTruthAgentPaused(t *testing.T) {
	v := newVisit(t, deploy.Config{Entries: 1, Orders: 1})
	v.faults(objectapi.Faults{DelayMillis: 1000})
	var before objectapi.Counts
	quiet(t, "GET", v.d.Objects.URL()+"/lab/counts", &before)
	v.Note("the agent is paused between claim and dispatch, until after the deadline")
	p := v.confirm(0, "Idempotency-Key", "order-1", "X-Deadline-Ms", "1500")
	waitFor(t, "claim at the object API", func() bool {
		var counts objectapi.Counts
		quiet(t, "GET", v.d.Objects.URL()+"/lab/counts", &counts)
		return counts.Writes > before.Writes
	})
	v.signal(v.agent(), syscall.SIGSTOP)
	p.Wait()
	v.Note("the order service ran %d", len(v.journal()))
	v.faults(objectapi.Faults{})
	v.signal(v.agent(), syscall.SIGCONT)
	v.Note("the agent goes on; the same key again")
	v.untilConfirmed(0, "Idempotency-Key", "order-1")
	v.end()
}

func TestTruthStoreLosesAnswers(t *testing.T) {
	v := newVisit(t, deploy.Config{Entries: 1, Orders: 1})
	v.faults(objectapi.Faults{LoseAnswers: true})
	v.Note("the object API loses the answer of every write after it took effect")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.end()
}

func TestTruthStoreDown(t *testing.T) {
	v := newVisit(t, deploy.Config{Entries: 1, Models: 1, Orders: 1})
	v.faults(objectapi.Faults{Down: true})
	v.Note("the object API is down; work with a key is refused")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.Note("all other work goes on")
	v.confirm(0).Wait()
	token, entry := demo.Token("franchise"), v.d.Entries[0].URL()
	call(t, v.Recorder, session.Call{Method: "GET", URL: entry + "/services/orders/orders/17", Token: token})
	call(t, v.Recorder, session.Call{Method: "POST", URL: entry + "/v1/chat/completions", Token: token, Body: `{"model":"draft","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`})
	v.Note("the order service ran %d", len(v.journal()))
	v.faults(objectapi.Faults{})
	v.Note("the object API is back; the same key again")
	v.confirm(0, "Idempotency-Key", "order-1").Wait()
	v.end()
}

// pendingBody is the body of the ith of several calls, two for each key.
func pendingBody(i int) string { return fmt.Sprintf(`{"item":"both-%d"}`, i/2) }

func TestTruthSameKeyThroughTwoEntries(t *testing.T) {
	v := newVisit(t, deploy.Config{Entries: 2, Orders: 2})
	v.hold()
	for _, o := range v.d.Upstreams[1:] {
		quiet(t, "PUT", o.URL()+"/lab/hold", nil)
	}
	runs := func() (all []orders.Entry) {
		for _, o := range v.d.Upstreams {
			var entries []orders.Entry
			quiet(t, "GET", o.URL()+"/lab/journal", &entries)
			all = append(all, entries...)
		}
		return all
	}
	first := v.confirm(0, "Idempotency-Key", "order-1")
	waitFor(t, "first confirmation", func() bool { return len(runs()) == 1 })
	v.Note("the same key through the other entry")
	v.confirm(1, "Idempotency-Key", "order-1").Wait()
	for _, o := range v.d.Upstreams {
		quiet(t, "PUT", o.URL()+"/lab/release", nil)
	}
	v.Note("the first one's answer, and the same key again")
	first.Wait()
	v.confirm(1, "Idempotency-Key", "order-1").Wait()
	const keys = 20
	var pending []*session.Pending
	for i := range 2 * keys {
		c := v.confirmCall(i%2, "Idempotency-Key", fmt.Sprintf("both-%d", i/2))
		c.Body = pendingBody(i)
		pending = append(pending, (&session.Recorder{}).Start(t.Context(), c))
	}
	confirmed := make(map[string]bool)
	for i, p := range pending {
		if status, _, _ := p.WaitUnrecorded(); status == http.StatusOK {
			confirmed[pendingBody(i)] = true
		}
	}
	ran := make(map[string]int)
	doubled := 0
	for _, run := range runs() {
		ran[run.Body]++
		if ran[run.Body] > 1 {
			doubled++
		}
	}
	missing := 0
	for body := range confirmed {
		if ran[body] == 0 {
			missing++
		}
	}
	t.Logf("%d keys confirmed", len(confirmed))
	v.Note("%d keys through both entries at once: %d doubled, %d confirmed that did not run", keys, doubled, missing)
	golden(t, v.Recorder)
}

func TestTruthEntryCutOff(t *testing.T) {
	v := newVisit(t, deploy.Config{Entries: 1, Orders: 1, Links: true, EntryArgs: []string{"--silence", "700ms"}, AgentArgs: []string{"--heartbeat", "100ms"}})
	l, err := v.d.Link("entry-0", v.agent().Name)
	if err != nil {
		t.Fatal(err)
	}
	v.hold()
	v.Note("the connection goes silent while a confirmation runs")
	p := v.confirm(0, "Idempotency-Key", "order-1")
	v.untilRun(1)
	l.BlackholeOpen()
	v.release()
	p.Wait()
	v.hold()
	v.Note("the entry is cut off while a confirmation runs")
	p = v.confirm(0, "Idempotency-Key", "order-2")
	v.untilRun(2)
	l.Cut()
	p.Wait()
	v.release()
	l.Heal()
	v.Note("the same key again")
	v.untilConfirmed(0, "Idempotency-Key", "order-2")
	v.end()
}
