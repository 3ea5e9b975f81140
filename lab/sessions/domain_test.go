package sessions

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
	"github.com/acaciaglade/acaciaglade/lab/objectapi"
	"github.com/acaciaglade/acaciaglade/lab/orders"
	"github.com/acaciaglade/acaciaglade/lab/session"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// noNewWork is the bound after which what was taken out, or leaves, starts no
// more work, and watched is how long it is then observed.
const (
	noNewWork = 3 * time.Second
	watched   = time.Second
)

// hostListLag is how far the host list lags behind in these sessions.
const hostListLag = time.Minute

// traffic sends orders and completions through entries until stop. The orders
// carry no key, so that they need no claim in the object API.
type traffic struct {
	cancel   context.CancelFunc
	group    sync.WaitGroup
	chat     load.Result
	orders   atomic.Int64
	untruths atomic.Int64
	latest   atomic.Value
}

func startTraffic(t *testing.T, entries ...*deploy.Process) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	tr := &traffic{cancel: cancel}
	var urls []string
	for _, p := range entries {
		urls = append(urls, p.URL())
		tr.group.Go(func() {
			for ctx.Err() == nil {
				tr.order(p.URL())
			}
		})
	}
	tr.group.Go(func() {
		tr.chat = load.Run(ctx, load.Config{
			Entries: urls, Organisation: "franchise", Token: demo.Token("franchise"), Kind: load.Chat,
			PerSecond: 30, Tokens: 10, Model: deploy.ModelService, Service: deploy.OrderService,
		})
	})
	return tr
}

// order sends one order. Its answer must be whole or a true refusal.
func (tr *traffic) order(entry string) {
	req, err := http.NewRequest(http.MethodPost, entry+"/services/orders/orders/confirm", strings.NewReader(`{}`))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.Token("franchise"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tr.untruths.Add(1)
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	var p problem.Problem
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		tr.orders.Add(1)
	case json.Unmarshal(answer, &p) != nil || p.Ran != problem.RanNo:
		tr.untruths.Add(1)
		tr.latest.Store(string(answer))
	}
}

// stop ends the traffic. Every answer must be whole or a true refusal.
func (tr *traffic) stop(t *testing.T) {
	t.Helper()
	tr.cancel()
	tr.group.Wait()
	if tr.orders.Load() == 0 || tr.untruths.Load() > 0 {
		t.Errorf("%d orders, %d answers that were broken or of unknown outcome, such as %v", tr.orders.Load(), tr.untruths.Load(), tr.latest.Load())
	}
	if tr.chat.Broken > 0 || tr.chat.Sent > 0 && tr.chat.Complete == 0 {
		t.Errorf("chat: %d sent, %d complete, %d broken", tr.chat.Sent, tr.chat.Complete, tr.chat.Broken)
	}
	for _, refusal := range tr.chat.Refusals {
		if refusal.Ran != problem.RanNo {
			t.Errorf("chat: %d answers of unknown outcome, %s", refusal.Count, refusal.Reason)
		}
	}
}

// started counts the orders that started at one upstream.
func started(t *testing.T, upstream *deploy.Process) int {
	t.Helper()
	var journal []orders.Entry
	getJSON(t, upstream.URL()+"/lab/journal", &journal)
	return len(journal)
}

func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}

// startsNothing checks that an upstream starts no work once the bound has
// passed since an order was given.
func startsNothing(t *testing.T, upstream *deploy.Process, since time.Time) {
	t.Helper()
	<-time.After(time.Until(since.Add(noNewWork)))
	before := started(t, upstream)
	<-time.After(watched)
	if after := started(t, upstream); after != before {
		t.Errorf("%s started %d orders after the bound", upstream.Name, after-before)
	}
}

// startsAgain waits until an upstream starts work.
func startsAgain(t *testing.T, upstream *deploy.Process) {
	t.Helper()
	before := started(t, upstream)
	eventually(t, 2*noNewWork, "work after in", func() error {
		if started(t, upstream) == before {
			return errors.Errorf("%s starts no work", upstream.Name)
		}
		return nil
	})
}

// longAnswer starts a completion that outlasts the bound, and returns a channel
// with whether it came whole.
func longAnswer(t *testing.T, entry *deploy.Process) <-chan bool {
	t.Helper()
	whole := make(chan bool, 1)
	body := `{"model":"draft","stream":true,"max_tokens":350,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.Token("cards"))
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			whole <- false
			return
		}
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		whole <- err == nil && strings.Count(string(answer), "data: {") == 350 && strings.HasSuffix(strings.TrimSpace(string(answer)), "[DONE]")
	}()
	return whole
}

func arrivesWhole(t *testing.T, whole <-chan bool, what string) {
	t.Helper()
	if !<-whole {
		t.Errorf("%s: an answer in progress was cut", what)
	}
}

// upstreamOf returns what an entry knows of an upstream.
func upstreamOf(t *testing.T, d *deploy.Deployment, entry int, name string) operator.UpstreamStatus {
	t.Helper()
	s, err := d.Operator(entry).Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range s.Upstreams {
		if u.Upstream == name {
			return u
		}
	}
	t.Fatalf("no upstream %s", name)
	return operator.UpstreamStatus{}
}

func TestFailureDomainOutAndIn(t *testing.T) {
	d := start(t, deploy.Config{Entries: 4, Models: 3, Orders: 3, Links: true, HostListLag: hostListLag})
	order, agent := d.Upstreams[3], "orders-0"
	r := &session.Recorder{}
	takeOut := func(what string, entry int, provisional bool) {
		tr := startTraffic(t, d.Entries...)
		startsAgain(t, order)
		var answers []<-chan bool
		for _, e := range d.Entries {
			answers = append(answers, longAnswer(t, e))
		}
		since := time.Now()
		result, err := d.Operator(entry).MarkFailureDomain(t.Context(), "fd-a", "out")
		if err != nil {
			t.Fatal(err)
		}
		if result.Provisional != provisional {
			t.Errorf("%s: the mark is provisional: %t", what, result.Provisional)
		}
		startsNothing(t, order, since)
		for _, a := range answers {
			arrivesWhole(t, a, what)
		}
		tr.stop(t)
		r.Line("%s: no order started in fd-a later than %s after the mark; nothing in progress was cut", what, noNewWork)
	}
	takeIn := func(what string) {
		eventually(t, 2*noNewWork, "in again", func() error {
			_, err := d.Operator(0).MarkFailureDomain(t.Context(), "fd-a", "in")
			return err
		})
		eventually(t, noNewWork, "in again", func() error {
			u := upstreamOf(t, d, 0, agent)
			if !u.Ready || u.Out {
				return errors.New("still out")
			}
			if u.Limit > 2 {
				t.Errorf("%s: the upstream may run %d requests at once as soon as it is in", what, u.Limit)
			}
			return nil
		})
		tr := startTraffic(t, d.Entries...)
		startsAgain(t, order)
		tr.stop(t)
		r.Line("%s: in again, from the lowest limit on", what)
	}

	takeOut("the host list lags a minute", 0, false)
	takeIn("the host list lags a minute")
	cut(t, d, "entry-1", "objects")
	takeOut("entry-1 is cut off from the object API", 0, false)
	takeIn("entry-1 is cut off from the object API")
	cut(t, d, "entry-0", "objects")
	takeOut("the entry that takes the order is cut off from the object API", 0, true)
	heal(t, d, "entry-0", "objects")
	heal(t, d, "entry-1", "objects")
	takeIn("the entry that takes the order is cut off from the object API")
	setFaults(t, d, objectapi.Faults{Down: true})
	takeOut("the object API is down", 2, true)
	r.Note("the mark outlives a restart of the entry that took it")
	if err := d.Kill(t.Context(), d.Entries[2]); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(d.Entries[2]); err != nil {
		t.Fatal(err)
	}
	_, err := d.Operator(0).MarkFailureDomain(t.Context(), "fd-a", "in")
	r.Line("in is refused while the object API is down: %v", err)
	setFaults(t, d, objectapi.Faults{})
	eventually(t, 10*time.Second, "the mark is written", func() error {
		got, err := d.Operator(2).Table(t.Context())
		if err == nil && !got.FailureDomains[0].OutOfService {
			err = errors.New("fd-a is not out in the table")
		}
		return err
	})
	r.Line("the object API is back: the mark is in the table")
	takeIn("the object API is back")
	golden(t, r)
}

func TestUpstreamLeaves(t *testing.T) {
	d := start(t, deploy.Config{Entries: 2, Models: 2, Orders: 2, Links: true, HostListLag: hostListLag})
	setFaults(t, d, objectapi.Faults{Down: true})
	tr := startTraffic(t, d.Entries...)
	startsAgain(t, d.Upstreams[2])
	answers := []<-chan bool{longAnswer(t, d.Entries[0]), longAnswer(t, d.Entries[1])}
	since := time.Now()
	for _, i := range []int{0, 2} {
		if err := d.Agents[i].Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	startsNothing(t, d.Upstreams[2], since)
	for _, a := range answers {
		arrivesWhole(t, a, "upstream leaving")
	}
	for _, i := range []int{0, 2} {
		if err := d.Agents[i].Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	tr.stop(t)
}

func TestEntryLeaves(t *testing.T) {
	d := start(t, deploy.Config{Entries: 2, Models: 1, Orders: 1})
	answer := longAnswer(t, d.Entries[0])
	eventually(t, noNewWork, "an answer in progress", func() error {
		if upstreamOf(t, d, 1, "draft-0").Running == 0 {
			return errors.New("nothing runs")
		}
		return nil
	})
	if err := d.Entries[0].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r := &session.Recorder{}
	eventually(t, noNewWork, "not ready", func() error {
		resp, err := http.Get(d.Entries[0].URL() + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			return errors.Errorf("readyz answers %d", resp.StatusCode)
		}
		return nil
	})
	r.Note("a new caller while the entry leaves")
	call(t, r, session.Call{Method: "GET", URL: d.Entries[0].URL() + "/services/orders/orders/1", Token: demo.Token("franchise")})
	arrivesWhole(t, answer, "entry leaving")
	if err := d.Entries[0].Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	golden(t, r)
}
