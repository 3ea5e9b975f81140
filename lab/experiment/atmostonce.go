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

// atMostOnce confirms orders while processes, connections and the object API fail. It
// compares the responses with the orders that the order services' journals contain.
var atMostOnce = Experiment{
	Name:    "at-most-once",
	Summary: "orders that ran twice, and false \"not run\" responses, under random failures",
	run:     runAtMostOnce,
}

const (
	// failureRounds is the number of successive rounds with one failure each.
	failureRounds = 75
	// callsPerRound is the number of confirmations in each round. The last two have the
	// same key.
	callsPerRound = 4
	// maxFailureDelay is the longest time from sending the orders to the failure.
	maxFailureDelay = 80 * time.Millisecond
	// pauseDuration is how long an agent is paused. It exceeds orderDeadline.
	pauseDuration = 1200 * time.Millisecond
	orderDeadline = 800 * time.Millisecond
	// responseTimeout limits the wait for a response.
	responseTimeout = 5 * time.Second
	// maxResends limits the resends of an order.
	maxResends     = 20
	resendInterval = 50 * time.Millisecond
)

// failureMode injects a failure and repairs it.
type failureMode struct {
	name   string
	inject func(ctx context.Context, s *atMostOnceRun) error
	repair func(ctx context.Context, s *atMostOnceRun) error
}

// failureModes lists the failures that successive rounds inject in turn.
var failureModes = []failureMode{
	{"nothing", doNothing, doNothing},
	{"agent killed", killProcess(agentOf), restartProcess(agentOf)},
	{"entry killed", killProcess(entryOf), restartProcess(entryOf)},
	{"agent paused past the deadline", pauseAgent, doNothing},
	{"connection cut", func(_ context.Context, s *atMostOnceRun) error {
		s.forEachLink(func(l faultyLink) { l.Cut() })
		return nil
	}, healLinks},
	{"connection blackholed", func(_ context.Context, s *atMostOnceRun) error {
		s.forEachLink(func(l faultyLink) { l.BlackholeOpen() })
		return nil
	}, doNothing},
	{"object API down", setStoreFaults(objectapi.Faults{Down: true}), setStoreFaults(objectapi.Faults{})},
	{"object API loses responses", setStoreFaults(objectapi.Faults{DropResponses: true}), setStoreFaults(objectapi.Faults{})},
	{"object API slow", setStoreFaults(objectapi.Faults{DelayMillis: 300}), setStoreFaults(objectapi.Faults{})},
}

// atMostOnceRun is the state of a run.
type atMostOnceRun struct {
	d    *deploy.Deployment
	rand *rand.Rand
	// agent and entry are the processes that a failure of this round affects.
	agent *deploy.Process
	entry *deploy.Process
	// sent, complete and unknown count confirmations. notRun lists the IDs of the requests
	// that were reported as not run.
	sent     int
	complete int
	unknown  int
	notRun   []string
}

func agentOf(s *atMostOnceRun) *deploy.Process { return s.agent }
func entryOf(s *atMostOnceRun) *deploy.Process { return s.entry }

func doNothing(context.Context, *atMostOnceRun) error { return nil }

func killProcess(which func(*atMostOnceRun) *deploy.Process) func(context.Context, *atMostOnceRun) error {
	return func(ctx context.Context, s *atMostOnceRun) error {
		if err := which(s).Signal(syscall.SIGKILL); err != nil {
			return err
		}
		return which(s).Wait(ctx)
	}
}

func restartProcess(which func(*atMostOnceRun) *deploy.Process) func(context.Context, *atMostOnceRun) error {
	return func(_ context.Context, s *atMostOnceRun) error { return s.d.Restart(which(s)) }
}

func pauseAgent(_ context.Context, s *atMostOnceRun) error {
	if err := s.agent.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(pauseDuration)
	return s.agent.Signal(syscall.SIGCONT)
}

func healLinks(_ context.Context, s *atMostOnceRun) error {
	s.forEachLink(func(l faultyLink) { l.Heal() })
	return nil
}

func setStoreFaults(f objectapi.Faults) func(context.Context, *atMostOnceRun) error {
	return func(ctx context.Context, s *atMostOnceRun) error {
		return deploy.PutJSON(ctx, s.d.Objects.URL()+"/lab/faults", f)
	}
}

// faultyLink is the part of a link that injects faults.
type faultyLink interface {
	Cut()
	Heal()
	BlackholeOpen()
}

// forEachLink calls a function with the link from each entry to the agent.
func (s *atMostOnceRun) forEachLink(apply func(faultyLink)) {
	for _, e := range s.d.Entries {
		if l, err := s.d.Link(e.Name, s.agent.Name); err == nil {
			apply(l)
		}
	}
}

func runAtMostOnce(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.startDeployment(ctx, deploy.Config{
		Entries: 2, Orders: 3, Links: true,
		OrderArgs: []string{"--delay", "50ms"},
		AgentArgs: []string{"--min-room", "8", "--heartbeat", "50ms"},
		EntryArgs: []string{"--silence", "300ms", "--ask-timeout", "200ms"},
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	s := &atMostOnceRun{d: d, rand: rand.New(rand.NewPCG(b.seed, 0))}
	v := Variant{Name: "random failures"}
	for round := range failureRounds {
		f := failureModes[round%len(failureModes)]
		b.printProgress("round %d: %s", round, f.name)
		if err := s.runRound(ctx, round, f); err != nil {
			return nil, err
		}
	}
	journal, err := s.readJournals(ctx)
	if err != nil {
		return nil, err
	}
	repeated, falseNotRun := s.countViolations(journal)
	v.Figures = []Figure{
		{"orders confirmed", "answers", float64(s.complete)},
		{"not run", "answers", float64(len(s.notRun))},
		{"unknown or no answer", "answers", float64(s.unknown)},
		{"orders run", "runs", float64(len(journal))},
	}
	return &Result{Variants: []Variant{v}, Goals: []Goal{
		{Name: fmt.Sprintf("%d requests, orders doubled", s.sent), Want: "0", Got: fmt.Sprint(repeated), Met: repeated == 0},
		{Name: "\"not run\" that ran", Want: "0", Got: fmt.Sprint(falseNotRun), Met: falseNotRun == 0},
	}}, nil
}

// runRound sends orders, injects a failure, repairs it, and sends the orders again until
// they are confirmed.
func (s *atMostOnceRun) runRound(ctx context.Context, round int, f failureMode) error {
	s.agent = s.d.Agents[s.rand.IntN(len(s.d.Agents))]
	s.entry = s.d.Entries[s.rand.IntN(len(s.d.Entries))]
	results := make([]orderResult, callsPerRound)
	var calls sync.WaitGroup
	for i := range callsPerRound {
		key := orderKey(round, min(i, callsPerRound-2))
		entry := s.d.Entries[i%len(s.d.Entries)].URL()
		calls.Go(func() { results[i] = confirmOrder(ctx, entry, key) })
	}
	time.Sleep(time.Duration(s.rand.Int64N(int64(maxFailureDelay))))
	err := f.inject(ctx, s)
	calls.Wait()
	if err != nil {
		return err
	}
	if err := f.repair(ctx, s); err != nil {
		return err
	}
	for i := range results {
		s.countResult(results[i])
	}
	return s.resendUntilConfirmed(ctx, round)
}

// resendUntilConfirmed sends each order of a round again, through the entries in turn,
// until it is confirmed or maxResends is reached.
func (s *atMostOnceRun) resendUntilConfirmed(ctx context.Context, round int) error {
	for i := range callsPerRound - 1 {
		for try := range maxResends {
			result := confirmOrder(ctx, s.d.Entries[try%len(s.d.Entries)].URL(), orderKey(round, i))
			s.countResult(result)
			if result.complete {
				break
			}
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-time.After(resendInterval):
			}
		}
	}
	return nil
}

func orderKey(round, i int) string { return fmt.Sprintf("round-%d-order-%d", round, i) }

// orderResult is the result of a confirmation as its caller received it.
type orderResult struct {
	complete bool
	// refusal is nil when the order is complete or no response arrived.
	refusal *problem.Problem
}

func (s *atMostOnceRun) countResult(r orderResult) {
	s.sent++
	switch {
	case r.complete:
		s.complete++
	case r.refusal != nil && r.refusal.Ran == problem.RanNo:
		s.notRun = append(s.notRun, r.refusal.RequestID)
	default:
		s.unknown++
	}
}

// orderClient opens a new connection for each call, as killed entries break pooled ones.
var orderClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func confirmOrder(ctx context.Context, entry, key string) orderResult {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	target := entry + "/services/" + deploy.OrderService + "/orders/confirm"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(key))
	if err != nil {
		return orderResult{}
	}
	req.Header.Set("Authorization", "Bearer "+tokenOf(largeOrganisation))
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(orderDeadline.Milliseconds()))
	resp, err := orderClient.Do(req)
	if err != nil {
		return orderResult{}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return orderResult{complete: true}
	}
	var p problem.Problem
	if json.NewDecoder(resp.Body).Decode(&p) != nil {
		return orderResult{}
	}
	return orderResult{refusal: &p}
}

// readJournals returns the orders that all order services ran.
func (s *atMostOnceRun) readJournals(ctx context.Context) ([]orders.Entry, error) {
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

// countViolations counts the orders that ran more than once, and the requests that ran
// although their responses reported them as not run.
func (s *atMostOnceRun) countViolations(journal []orders.Entry) (repeated, falseNotRun int) {
	orders, requests := make(map[string]int), make(map[string]int)
	for _, e := range journal {
		orders[e.Body]++
		requests[e.RequestID]++
	}
	for _, n := range orders {
		if n > 1 {
			repeated++
		}
	}
	for _, id := range s.notRun {
		if requests[id] > 0 {
			falseNotRun++
		}
	}
	return repeated, falseNotRun
}
