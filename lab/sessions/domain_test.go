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

// drainLimit is the time after which an upstream that was taken out of service or
// drains must start no more work. It is then observed for observationTime.
const (
	drainLimit      = 3 * time.Second
	observationTime = time.Second
)

// hostListLag is the delay of the host list in these sessions.
const hostListLag = time.Minute

// traffic sends orders and chat completions through entries until stop. The orders
// have no idempotency key, so that they need no claim in the object API. invalid
// counts the responses that are neither complete nor a refusal with ran: no, and
// lastInvalid is the body of the last one that had a body.
type traffic struct {
	cancel      context.CancelFunc
	group       sync.WaitGroup
	chat        load.Result
	orders      atomic.Int64
	invalid     atomic.Int64
	lastInvalid atomic.Value
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
				tr.sendOrder(p.URL())
			}
		})
	}
	tr.group.Go(func() {
		tr.chat = load.Run(ctx, load.Config{
			Entries: urls, Organisation: "franchise", Token: demo.Token("franchise"), Kind: load.KindChat,
			PerSecond: 30, Tokens: 10, Model: deploy.ModelService, Service: deploy.OrderService,
		})
	})
	return tr
}

// sendOrder sends one order. The response must be complete or a refusal with ran: no.
func (tr *traffic) sendOrder(entry string) {
	req, err := http.NewRequest(http.MethodPost, entry+"/services/orders/orders/confirm", strings.NewReader(`{}`))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.Token("franchise"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tr.invalid.Add(1)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var p problem.Problem
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		tr.orders.Add(1)
	case json.Unmarshal(body, &p) != nil || p.Ran != problem.RanNo:
		tr.invalid.Add(1)
		tr.lastInvalid.Store(string(body))
	}
}

// stop ends the traffic and checks that every response was complete or a refusal with
// ran: no.
func (tr *traffic) stop(t *testing.T) {
	t.Helper()
	tr.cancel()
	tr.group.Wait()
	if tr.orders.Load() == 0 || tr.invalid.Load() > 0 {
		t.Errorf("%d orders, %d responses that were incomplete or of unknown outcome, the last: %v", tr.orders.Load(), tr.invalid.Load(), tr.lastInvalid.Load())
	}
	if tr.chat.Broken > 0 || tr.chat.Sent > 0 && tr.chat.Complete == 0 {
		t.Errorf("chat: %d sent, %d complete, %d broken", tr.chat.Sent, tr.chat.Complete, tr.chat.Broken)
	}
	for _, refusal := range tr.chat.Refusals {
		if refusal.Ran != problem.RanNo {
			t.Errorf("chat: %d responses of unknown outcome, reason %s", refusal.Count, refusal.Reason)
		}
	}
}

// startedOrders returns the number of orders that an upstream has started.
func startedOrders(t *testing.T, upstream *deploy.Process) int {
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

// assertNoNewOrders checks that an upstream starts no orders once drainLimit has passed
// since it was taken out of service or asked to drain.
func assertNoNewOrders(t *testing.T, upstream *deploy.Process, since time.Time) {
	t.Helper()
	<-time.After(time.Until(since.Add(drainLimit)))
	before := startedOrders(t, upstream)
	<-time.After(observationTime)
	if after := startedOrders(t, upstream); after != before {
		t.Errorf("%s started %d orders after the drain limit", upstream.Name, after-before)
	}
}

// waitForNewOrders waits until an upstream starts an order.
func waitForNewOrders(t *testing.T, upstream *deploy.Process) {
	t.Helper()
	before := startedOrders(t, upstream)
	eventually(t, 2*drainLimit, "orders after the return to service", func() error {
		if startedOrders(t, upstream) == before {
			return errors.Errorf("%s starts no orders", upstream.Name)
		}
		return nil
	})
}

// startLongCompletion starts a completion that takes longer than drainLimit, and returns
// a channel that reports whether its response was complete.
func startLongCompletion(t *testing.T, entry *deploy.Process) <-chan bool {
	t.Helper()
	complete := make(chan bool, 1)
	body := `{"model":"draft","stream":true,"max_tokens":350,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.Token("cards"))
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			complete <- false
			return
		}
		defer resp.Body.Close()
		events, err := io.ReadAll(resp.Body)
		complete <- err == nil && strings.Count(string(events), "data: {") == 350 && strings.HasSuffix(strings.TrimSpace(string(events)), "[DONE]")
	}()
	return complete
}

// assertComplete checks the result of startLongCompletion.
func assertComplete(t *testing.T, complete <-chan bool, what string) {
	t.Helper()
	if !<-complete {
		t.Errorf("%s: a response in progress was aborted", what)
	}
}

// upstreamStatus returns the status of an upstream as an entry reports it.
func upstreamStatus(t *testing.T, d *deploy.Deployment, entry int, name string) operator.UpstreamStatus {
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
	t.Fatalf("the status has no upstream %s", name)
	return operator.UpstreamStatus{}
}

// TestFailureDomainOutAndIn takes a failure domain out of service and returns it, also
// while the host list lags, while an entry is cut off from the object API, and while the
// object API is down. Once drainLimit has passed, no work may start in the domain; no
// response in progress may be aborted.
func TestFailureDomainOutAndIn(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 4, Models: 3, Orders: 3, Links: true, HostListLag: hostListLag})
	orderService, agent := d.Upstreams[3], "orders-0"
	r := &session.Recorder{}
	takeOutOfService := func(what string, entry int, provisional bool) {
		tr := startTraffic(t, d.Entries...)
		waitForNewOrders(t, orderService)
		var completions []<-chan bool
		for _, e := range d.Entries {
			completions = append(completions, startLongCompletion(t, e))
		}
		since := time.Now()
		result, err := d.Operator(entry).MarkFailureDomain(t.Context(), "fd-a", "out")
		if err != nil {
			t.Fatal(err)
		}
		if result.Provisional != provisional {
			t.Errorf("%s: unexpected provisional state of the mark: %t", what, result.Provisional)
		}
		assertNoNewOrders(t, orderService, since)
		for _, c := range completions {
			assertComplete(t, c, what)
		}
		tr.stop(t)
		r.Line("%s: no order started in fd-a later than %s after the mark; no response in progress was aborted", what, drainLimit)
	}
	returnToService := func(what string) {
		eventually(t, 2*drainLimit, "return to service", func() error {
			_, err := d.Operator(0).MarkFailureDomain(t.Context(), "fd-a", "in")
			return err
		})
		eventually(t, drainLimit, "return to service", func() error {
			u := upstreamStatus(t, d, 0, agent)
			if !u.Ready || u.OutOfService {
				return errors.New("the upstream is not ready or still out of service")
			}
			if u.Limit > 2 {
				t.Errorf("%s: the limit of the upstream is %d on return to service, want at most 2", what, u.Limit)
			}
			return nil
		})
		tr := startTraffic(t, d.Entries...)
		waitForNewOrders(t, orderService)
		tr.stop(t)
		r.Line("%s: returned to service, starting with the lowest limit", what)
	}

	takeOutOfService("the host list lags by a minute", 0, false)
	returnToService("the host list lags by a minute")
	cutLinks(t, d, "entry-1", "objects")
	takeOutOfService("entry-1 is cut off from the object API", 0, false)
	returnToService("entry-1 is cut off from the object API")
	cutLinks(t, d, "entry-0", "objects")
	takeOutOfService("the entry that accepts the mark is cut off from the object API", 0, true)
	healLinks(t, d, "entry-0", "objects")
	healLinks(t, d, "entry-1", "objects")
	returnToService("the entry that accepts the mark is cut off from the object API")
	setFaults(t, d, objectapi.Faults{Down: true})
	takeOutOfService("the object API is down", 2, true)
	r.Note("the mark survives a restart of the entry that accepted it")
	if err := d.Kill(t.Context(), d.Entries[2]); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(d.Entries[2]); err != nil {
		t.Fatal(err)
	}
	_, err := d.Operator(0).MarkFailureDomain(t.Context(), "fd-a", "in")
	r.Line("the return to service is refused while the object API is down: %v", err)
	setFaults(t, d, objectapi.Faults{})
	eventually(t, 10*time.Second, "the mark is written", func() error {
		got, err := d.Operator(2).Table(t.Context())
		if err == nil && !got.FailureDomains[0].OutOfService {
			err = errors.New("fd-a is not out of service in the table")
		}
		return err
	})
	r.Line("the object API has recovered: the mark is in the table")
	returnToService("the object API has recovered")
	assertGolden(t, r)
}

// TestUpstreamLeaves guards against work that is aborted by, or sent to, an upstream
// whose agent is asked to stop while the object API is down.
func TestUpstreamLeaves(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 2, Models: 2, Orders: 2, Links: true, HostListLag: hostListLag})
	setFaults(t, d, objectapi.Faults{Down: true})
	tr := startTraffic(t, d.Entries...)
	waitForNewOrders(t, d.Upstreams[2])
	completions := []<-chan bool{startLongCompletion(t, d.Entries[0]), startLongCompletion(t, d.Entries[1])}
	since := time.Now()
	for _, i := range []int{0, 2} {
		if err := d.Agents[i].Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	assertNoNewOrders(t, d.Upstreams[2], since)
	for _, c := range completions {
		assertComplete(t, c, "upstream draining")
	}
	for _, i := range []int{0, 2} {
		if err := d.Agents[i].Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	tr.stop(t)
}

// TestEntryLeaves sends SIGTERM to an entry. The entry must become not ready and refuse
// new requests, but complete the response in progress.
func TestEntryLeaves(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 2, Models: 1, Orders: 1})
	completion := startLongCompletion(t, d.Entries[0])
	eventually(t, drainLimit, "a response in progress", func() error {
		if upstreamStatus(t, d, 1, "draft-0").Running == 0 {
			return errors.New("draft-0 runs no request")
		}
		return nil
	})
	if err := d.Entries[0].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r := &session.Recorder{}
	eventually(t, drainLimit, "the draining entry is not ready", func() error {
		resp, err := http.Get(d.Entries[0].URL() + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			return errors.Errorf("/readyz returns status %d", resp.StatusCode)
		}
		return nil
	})
	r.Note("a new request while the entry drains")
	mustCall(t, r, session.Call{Method: "GET", URL: d.Entries[0].URL() + "/services/orders/orders/1", Token: demo.Token("franchise")})
	assertComplete(t, completion, "entry draining")
	if err := d.Entries[0].Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	assertGolden(t, r)
}
