package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/objectapi"
	"github.com/acaciaglade/acaciaglade/lab/orders"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// atMostOnce confirms orders while processes, connections and the object API
// fail, and counts in the order services' journals what ran.
var atMostOnce = Experiment{
	Name:    "at-most-once",
	Summary: "orders that ran twice, and \"not run\" answers that were untrue, under random failures",
	run:     runAtMostOnce,
}

const (
	// failureRounds is the number of failures, one after the other.
	failureRounds = 75
	// callsPerRound is the number of orders at each failure. The last two have
	// the same key.
	callsPerRound = 4
	// failsWithin is the latest time of a failure after the orders were sent.
	failsWithin = 80 * time.Millisecond
	// pauseLasts is longer than the orders' deadline.
	pauseLasts    = 1200 * time.Millisecond
	orderDeadline = 800 * time.Millisecond
	// answerWithin bounds the wait for an answer.
	answerWithin = 5 * time.Second
	// resendTries bounds the resends of an order.
	resendTries = 20
	resendPause = 50 * time.Millisecond
)

// failure is one thing that fails, and how it is mended.
type failure struct {
	name string
	fail func(ctx context.Context, s *failing) error
	mend func(ctx context.Context, s *failing) error
}

// failures is what may fail in a round.
var failures = []failure{
	{"nothing", nothingFails, nothingFails},
	{"agent killed", killed(agentOf), restarted(agentOf)},
	{"entry killed", killed(entryOf), restarted(entryOf)},
	{"agent paused past the deadline", paused, nothingFails},
	{"connection cut", func(_ context.Context, s *failing) error { s.link(func(l linkFault) { l.Cut() }); return nil }, healed},
	{"connection silent", func(_ context.Context, s *failing) error { s.link(func(l linkFault) { l.BlackholeOpen() }); return nil }, nothingFails},
	{"object API down", store(objectapi.Faults{Down: true}), store(objectapi.Faults{})},
	{"object API loses answers", store(objectapi.Faults{LoseAnswers: true}), store(objectapi.Faults{})},
	{"object API slow", store(objectapi.Faults{DelayMillis: 300}), store(objectapi.Faults{})},
}

// failing is the state of the experiment.
type failing struct {
	d    *deploy.Deployment
	rand *rand.Rand
	// agent and entry are those that fail in this round.
	agent *deploy.Process
	entry *deploy.Process
	// sent counts answers, notRun holds the requests that were told not run.
	sent     int
	complete int
	unknown  int
	notRun   []string
}

func agentOf(s *failing) *deploy.Process { return s.agent }
func entryOf(s *failing) *deploy.Process { return s.entry }

func nothingFails(context.Context, *failing) error { return nil }

func killed(which func(*failing) *deploy.Process) func(context.Context, *failing) error {
	return func(ctx context.Context, s *failing) error {
		if err := which(s).Signal(syscall.SIGKILL); err != nil {
			return err
		}
		return which(s).Wait(ctx)
	}
}

func restarted(which func(*failing) *deploy.Process) func(context.Context, *failing) error {
	return func(_ context.Context, s *failing) error { return s.d.Restart(which(s)) }
}

func paused(_ context.Context, s *failing) error {
	if err := s.agent.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(pauseLasts)
	return s.agent.Signal(syscall.SIGCONT)
}

func healed(_ context.Context, s *failing) error {
	s.link(func(l linkFault) { l.Heal() })
	return nil
}

func store(f objectapi.Faults) func(context.Context, *failing) error {
	return func(ctx context.Context, s *failing) error {
		return deploy.PutJSON(ctx, s.d.Objects.URL()+"/lab/faults", f)
	}
}

// linkFault is what a link can suffer.
type linkFault interface {
	Cut()
	Heal()
	BlackholeOpen()
}

// link applies a fault to the links from all entries to the agent.
func (s *failing) link(fault func(linkFault)) {
	for _, e := range s.d.Entries {
		if l, err := s.d.Link(e.Name, s.agent.Name); err == nil {
			fault(l)
		}
	}
}

func runAtMostOnce(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.start(ctx, deploy.Config{
		Entries: 2, Orders: 3, Links: true,
		OrderArgs: []string{"--delay", "50ms"},
		AgentArgs: []string{"--min-room", "8", "--heartbeat", "50ms"},
		EntryArgs: []string{"--silence", "300ms", "--ask-timeout", "200ms"},
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	s := &failing{d: d, rand: rand.New(rand.NewPCG(b.seed, 0))}
	v := Variant{Name: "random failures"}
	for round := range failureRounds {
		f := failures[round%len(failures)]
		b.progress("round %d: %s", round, f.name)
		if err := s.round(ctx, round, f); err != nil {
			return nil, err
		}
	}
	journal, err := s.journal(ctx)
	if err != nil {
		return nil, err
	}
	doubled, untrue := s.judge(journal)
	v.Figures = []Figure{
		{"orders confirmed", "answers", float64(s.complete)},
		{"not run", "answers", float64(len(s.notRun))},
		{"unknown or no answer", "answers", float64(s.unknown)},
		{"orders run", "runs", float64(len(journal))},
	}
	return &Result{Variants: []Variant{v}, Goals: []Goal{
		{Name: fmt.Sprintf("%d requests, orders doubled", s.sent), Want: "0", Got: fmt.Sprint(doubled), Met: doubled == 0},
		{Name: "\"not run\" that ran", Want: "0", Got: fmt.Sprint(untrue), Met: untrue == 0},
	}}, nil
}

// round sends orders, lets one thing fail, mends it and sends the orders again
// through the other entry until they are confirmed.
func (s *failing) round(ctx context.Context, round int, f failure) error {
	s.agent = s.d.Agents[s.rand.IntN(len(s.d.Agents))]
	s.entry = s.d.Entries[s.rand.IntN(len(s.d.Entries))]
	answers := make([]orderAnswer, callsPerRound)
	var calls sync.WaitGroup
	for i := range callsPerRound {
		key := orderKey(round, min(i, callsPerRound-2))
		entry := s.d.Entries[i%len(s.d.Entries)].URL()
		calls.Go(func() { answers[i] = confirmOrder(ctx, entry, key) })
	}
	time.Sleep(time.Duration(s.rand.Int64N(int64(failsWithin))))
	err := f.fail(ctx, s)
	calls.Wait()
	if err != nil {
		return err
	}
	if err := f.mend(ctx, s); err != nil {
		return err
	}
	for i := range answers {
		s.count(answers[i])
	}
	return s.resend(ctx, round)
}

// resend sends the orders of a round again until each is confirmed, or its
// outcome stays unknown.
func (s *failing) resend(ctx context.Context, round int) error {
	for i := range callsPerRound - 1 {
		for try := range resendTries {
			answer := confirmOrder(ctx, s.d.Entries[try%len(s.d.Entries)].URL(), orderKey(round, i))
			s.count(answer)
			if answer.complete {
				break
			}
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-time.After(resendPause):
			}
		}
	}
	return nil
}

func orderKey(round, i int) string { return fmt.Sprintf("round-%d-order-%d", round, i) }

// orderAnswer is what a caller was told.
type orderAnswer struct {
	complete bool
	// refusal is nil when no answer came.
	refusal *problem.Problem
}

func (s *failing) count(a orderAnswer) {
	s.sent++
	switch {
	case a.complete:
		s.complete++
	case a.refusal != nil && a.refusal.Ran == problem.RanNo:
		s.notRun = append(s.notRun, a.refusal.RequestID)
	default:
		s.unknown++
	}
}

// orderClient opens a connection for each call, as entries are killed.
var orderClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func confirmOrder(ctx context.Context, entry, key string) orderAnswer {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	target := entry + "/services/" + deploy.OrderService + "/orders/confirm"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(key))
	if err != nil {
		return orderAnswer{}
	}
	req.Header.Set("Authorization", "Bearer "+token(large))
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(orderDeadline.Milliseconds()))
	resp, err := orderClient.Do(req)
	if err != nil {
		return orderAnswer{}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return orderAnswer{complete: true}
	}
	var p problem.Problem
	if json.NewDecoder(resp.Body).Decode(&p) != nil {
		return orderAnswer{}
	}
	return orderAnswer{refusal: &p}
}

// journal returns what all order services ran.
func (s *failing) journal(ctx context.Context) ([]orders.Entry, error) {
	var all []orders.Entry
	for _, u := range s.d.Upstreams {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.URL()+"/lab/journal", nil)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		resp, err := orderClient.Do(req)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		var entries []orders.Entry
		err = json.NewDecoder(resp.Body).Decode(&entries)
		resp.Body.Close()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		all = append(all, entries...)
	}
	return all, nil
}

// judge counts the orders that ran more than once, and the requests that ran
// though their callers were told that they did not.
func (s *failing) judge(journal []orders.Entry) (doubled, untrue int) {
	orders, requests := make(map[string]int), make(map[string]int)
	for _, e := range journal {
		orders[e.Body]++
		requests[e.RequestID]++
	}
	for _, n := range orders {
		if n > 1 {
			doubled++
		}
	}
	for _, id := range s.notRun {
		if requests[id] > 0 {
			untrue++
		}
	}
	return doubled, untrue
}
