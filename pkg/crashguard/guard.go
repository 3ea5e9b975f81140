// Package crashguard keeps requests from upstreams that they would end. Package quarantine
// decides; this package feeds it with an entry's attempts, probes upstreams at which
// attempts broke off, exchanges reports with the other entries, and keeps those because of
// which parts of prompts are quarantined in the platform's store. Each request is one of its own
// parts as well, by its fingerprint, so that it is recognised when it is sent again.
//
// Entries send a new report to all others at once. Every few seconds each entry also
// compares its reports with those of a random other one, so that an entry that was
// unreachable, or has just started, gets what it missed. The store is only needed when no
// other entry is left that knows: after all of them have restarted.
package crashguard

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/filter/attempt"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
)

// Times of a guard.
const (
	// probeTimeout limits the probe of an upstream at which an attempt broke off. An
	// upstream that has ended refuses connections within milliseconds.
	probeTimeout = 500 * time.Millisecond
	// maxProbeWait limits how long the retry of a request waits for a probe. The one of an
	// upstream that is cut off lasts for probeTimeout and shows nothing.
	maxProbeWait = 100 * time.Millisecond
	// secondProbeDelay is the time after which an upstream that takes a connection is probed
	// again: the listener of a process that ends may be closed some milliseconds after its
	// connections.
	secondProbeDelay = 50 * time.Millisecond
	// maxWait limits how long a request waits for a trial or a conclusion. Callers of
	// streams disconnect after two seconds without a response.
	maxWait = time.Second
	// trialRetryInterval is the time after which a request that waits asks for a trial
	// again. A trial takes about as long as the first part of a response.
	trialRetryInterval = 100 * time.Millisecond
	// suspectedRetryAfter is the retry delay of a request that has waited in vain.
	suspectedRetryAfter = time.Second
)

// Config configures a guard.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// Seed seeds the random delays.
	Seed uint64
	// FingerprintKey is a secret of all entries, under which requests are recognised that come
	// again. If it is empty, a guess at a request can be checked against its fingerprint.
	FingerprintKey string
	// Probe opens a connection to an upstream. Its error has syscall.ECONNREFUSED in its
	// chain if the upstream refuses the connection. It is nil where agents report the ends
	// of their upstreams.
	Probe func(ctx context.Context, address string) error
	// Hosts returns the hosts of the system, Peers calls the entries among them.
	Hosts func() []hosts.Host
	Peers *peer.EntryClient
	// Store keeps reports. If it is nil, they are lost when all entries restart.
	Store    Store
	Registry prometheus.Registerer
}

// Guard implements attempt.Guard. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	metrics *metrics
	log     *logrus.Entry
	// wake makes Run look for reports to send, storeWake for reports to write to the store.
	wake, storeWake chan struct{}
	// synced is closed once the reports in the store are known, or after maxSyncTime.
	synced     chan struct{}
	syncedOnce sync.Once
	// stored are the reports in the store.
	stored *storedReports

	mu         sync.Mutex
	detector   *quarantine.LossDetector
	quarantine *quarantine.Quarantine
	trials     *quarantine.Trials
	// passes are those whose attempts have not begun, by ID.
	passes   map[string]*pass
	lastPass uint64
	// probes has a channel for each upstream that is being probed. It is closed at the end.
	probes map[quarantine.UpstreamKey]chan struct{}
	// unreachable are the entries that could not be asked for a trial, by the time of that.
	unreachable map[string]time.Time
	// nextAsk is when the trial of a service may be asked for again.
	nextAsk map[string]time.Time
	// changes is the value of Quarantine.Changes at the latest update, and changed is
	// closed, and replaced, at each.
	changes uint64
	changed chan struct{}
	// standings are those at the latest update.
	standings map[standingKey]quarantine.Standing
}

// New returns a guard.
func New(cfg Config) *Guard {
	return &Guard{
		cfg: cfg, metrics: newMetrics(cfg.Registry), log: logging.For("crashguard"), wake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1), synced: make(chan struct{}),
		stored: newStoredReports(), detector: quarantine.NewLossDetector(), quarantine: quarantine.New(cfg.Entry, cfg.Seed),
		trials: quarantine.NewTrials(), passes: make(map[string]*pass), probes: make(map[quarantine.UpstreamKey]chan struct{}),
		unreachable: make(map[string]time.Time), nextAsk: make(map[string]time.Time), changed: make(chan struct{}), standings: make(map[standingKey]quarantine.Standing),
	}
}

// pass implements attempt.Pass.
type pass struct {
	guard                          *Guard
	id                             string
	service, organisation, request string
	parts                          []string
	fingerprint                    string
	// revoked ends when the permission is revoked by calling revoke.
	revoked context.Context
	revoke  context.CancelCauseFunc
	// trial is true if the attempt is a trial. trialAddress is the address of the entry that
	// granted it, empty for this one.
	trial        bool
	trialAddress string
	// upstream and address are set once the attempt is sent.
	upstream quarantine.Upstream
	address  string
	sent     bool
	begun    bool
	// broken is true once the upstream has broken the attempt off.
	broken bool
}

// Admit implements attempt.Guard.
func (g *Guard) Admit(ctx context.Context, r *pipe.Request, previous attempt.Pass) (attempt.Pass, error) {
	waitCtx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	p, err := g.admit(waitCtx, r, previous)
	if err == nil {
		return p, nil
	}
	if ctx.Err() != nil {
		return nil, problem.New(problem.ReasonDeadlineExceeded, "")
	}
	return nil, err
}

// admit decides about a request, again after each change, until waitCtx ends.
func (g *Guard) admit(waitCtx context.Context, r *pipe.Request, previous attempt.Pass) (*pass, error) {
	p := g.newPass(r, previous)
	g.awaitKnowledge(waitCtx, p, previous)
	for {
		g.mu.Lock()
		verdict := g.quarantine.Check(p.service, p.organisation, p.parts, time.Now())
		changed := g.changed
		if verdict.Action == quarantine.ActionPass {
			g.passes[p.id] = p
			g.mu.Unlock()
			return p, nil
		}
		g.mu.Unlock()
		switch {
		case verdict.Action == quarantine.ActionRefuse:
			return nil, refusal(&verdict, verdict.RetryAfter)
		case verdict.Action == quarantine.ActionTrial && g.beginTrial(waitCtx, p):
			if g.startTrial(p) {
				return p, nil
			}
			continue
		}
		select {
		case <-changed:
		case <-time.After(trialRetryInterval):
		case <-waitCtx.Done():
			return nil, refusal(&verdict, suspectedRetryAfter)
		}
	}
}

// refusal returns the refusal of a request with a gated part.
func refusal(v *quarantine.Verdict, after time.Duration) *problem.Problem {
	reason := problem.ReasonPromptQuarantined
	if v.IsWholeRequest() {
		reason = problem.ReasonRequestQuarantined
	}
	return problem.New(reason, v.Detail()).WithRetryAfter(after)
}

func (g *Guard) newPass(r *pipe.Request, previous attempt.Pass) *pass {
	revoked, revoke := context.WithCancelCause(context.Background())
	p := &pass{
		guard: g, service: r.Service.Name, organisation: r.Organisation.Name, request: r.ID,
		revoked: revoked, revoke: revoke,
	}
	if last, ok := previous.(*pass); ok {
		p.fingerprint = last.fingerprint
	} else {
		p.fingerprint = fingerprint(g.cfg.FingerprintKey, r)
	}
	whole := quarantine.RepeatedRequest(p.fingerprint)
	if len(r.SharedParts) == 0 {
		whole = quarantine.WholeRequest(p.fingerprint)
	}
	p.parts = append(slices.Clip(r.SharedParts), whole)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastPass++
	p.id = strconv.FormatUint(g.lastPass, 10)
	return p
}

// awaitKnowledge waits until the verdict on a request with unproven parts can be based on
// what is about to be known: the reports in the store after a start, and whether the
// upstream has ended at which the request's previous attempt broke off.
func (g *Guard) awaitKnowledge(ctx context.Context, p *pass, previous attempt.Pass) {
	g.mu.Lock()
	proven := g.quarantine.IsProven(p.service, p.parts, time.Now())
	var probe chan struct{}
	if last, ok := previous.(*pass); ok && last.broken && !last.begun {
		probe = g.probes[last.upstream.UpstreamKey]
	}
	g.mu.Unlock()
	if proven {
		return
	}
	select {
	case <-g.synced:
	case <-ctx.Done():
	}
	if probe == nil {
		return
	}
	select {
	case <-probe:
	case <-time.After(maxProbeWait):
	case <-ctx.Done():
	}
}

// Revoked implements attempt.Pass.
func (p *pass) Revoked() context.Context { return p.revoked }

// RecordStart implements attempt.Pass.
func (p *pass) RecordStart(u fleet.Upstream) {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	p.sent, p.address = true, u.Address
	p.upstream = quarantine.Upstream{
		UpstreamKey: quarantine.UpstreamKey{ID: u.Report.Upstream, Incarnation: cmp.Or(u.Report.UpstreamIncarnation, u.Report.Incarnation)},
		Service:     p.service, Group: u.Group, Epoch: u.Epoch,
	}
	if p.trial {
		g.log.WithFields(logrus.Fields{"request": p.request, "prompt_parts": p.parts, "upstream": u.Report.Upstream}).Info("trial of a part begins")
	}
	g.quarantine.RecordSent(p.service, p.parts, now)
	g.detector.RecordStart(quarantine.Attempt{
		ID: p.id, RequestID: p.request, Organisation: p.organisation, Parts: p.parts, Fingerprint: p.fingerprint, Trial: p.trial, SentAt: now, Upstream: p.upstream,
	})
}

// RecordPart implements attempt.Pass.
func (p *pass) RecordPart() {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.detector.RecordPart(p.id, time.Now()); a != nil {
		g.recordBegun(p, a)
	}
}

// recordBegun records that the response of an attempt has begun well. The caller holds the
// lock.
func (g *Guard) recordBegun(p *pass, a *quarantine.Attempt) {
	p.begun = true
	delete(g.passes, p.id)
	now, firstPartAt := time.Now(), a.FirstPartAt
	if firstPartAt.IsZero() {
		firstPartAt = now
	}
	g.quarantine.RecordBegun(p.service, p.organisation, p.parts, firstPartAt.Sub(a.SentAt), now)
	g.update()
	if p.trial {
		g.endTrial(p, trialBegun)
	}
}

// RecordEnd implements attempt.Pass.
func (p *pass) RecordEnd(end attempt.End) {
	p.revoke(nil)
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.passes, p.id)
	p.broken = end == attempt.EndBroken || end == attempt.EndLost
	a := g.detector.RecordEnd(p.id, p.broken, time.Now())
	if a != nil && end == attempt.EndComplete && !p.begun {
		g.recordBegun(p, a)
	}
	if p.trial && !p.begun {
		g.endTrial(p, trialOutcome(end))
	}
	if a == nil {
		return
	}
	switch end {
	case attempt.EndReplaced:
		g.confirm(a.Upstream.UpstreamKey, quarantine.LossReplaced)
	case attempt.EndLost:
		g.confirm(a.Upstream.UpstreamKey, quarantine.LossReported)
	case attempt.EndBroken, attempt.EndUnreachable:
		g.startProbe(a.Upstream.UpstreamKey, p.address)
	}
}

// startProbe probes an upstream unless a probe of it runs. The caller holds the lock.
func (g *Guard) startProbe(key quarantine.UpstreamKey, address string) {
	if _, ok := g.probes[key]; ok || g.cfg.Probe == nil {
		return
	}
	done := make(chan struct{})
	g.probes[key] = done
	go func() {
		accepts := g.probe(key, address)
		g.mu.Lock()
		delete(g.probes, key)
		g.mu.Unlock()
		close(done)
		if !accepts {
			return
		}
		time.Sleep(secondProbeDelay)
		if g.probe(key, address) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.detector.RecordReachable(key)
		}
	}()
}

// probe finds out whether an upstream still takes connections. If it refuses them, it has ended.
func (g *Guard) probe(key quarantine.UpstreamKey, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.cfg.Probe(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.confirm(key, quarantine.LossRefused)
	}
	return err == nil
}

// SetListed applies the platform's list of upstreams: whether each of them is leaving.
func (g *Guard) SetListed(leaving map[quarantine.UpstreamKey]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, loss := range g.detector.SetListed(leaving, time.Now()) {
		g.recordLoss(&loss)
	}
}

// confirm records that an upstream has ended. The caller holds the lock.
func (g *Guard) confirm(key quarantine.UpstreamKey, evidence quarantine.LossEvidence) {
	if loss := g.detector.Confirm(key, evidence, time.Now()); loss != nil {
		g.recordLoss(loss)
	}
}

// recordLoss logs and counts a loss and draws the conclusions. The caller holds the lock.
func (g *Guard) recordLoss(loss *quarantine.Loss) {
	g.logLoss(loss)
	g.quarantine.RecordLoss(loss, time.Now())
	g.update()
}

// update draws the conclusions from changes of the reports: it logs changed standings,
// revokes passes, and wakes those who wait. The caller holds the lock.
func (g *Guard) update() {
	if g.changes == g.quarantine.Changes() {
		return
	}
	g.changes = g.quarantine.Changes()
	now := time.Now()
	g.logStandings(now)
	for _, p := range g.passes {
		verdict := g.quarantine.Check(p.service, p.organisation, p.parts, now)
		if verdict.Action == quarantine.ActionRefuse || verdict.Action != quarantine.ActionPass && !p.trial && !p.sent {
			p.revoke(refusal(&verdict, verdict.RetryAfter))
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Standings returns the parts that are suspected or quarantined.
func (g *Guard) Standings() []quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Standings(time.Now())
}

// Release ends the quarantine of a part at all entries. It returns false if no report has
// the part.
func (g *Guard) Release(service, part string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.quarantine.Release(service, part, time.Now())
	g.update()
	return ok
}

// IsSynced reports whether the reports in the store are known, or are not waited for.
func (g *Guard) IsSynced() bool {
	select {
	case <-g.synced:
		return true
	default:
		return false
	}
}

var (
	_ attempt.Guard = (*Guard)(nil)
	_ attempt.Pass  = (*pass)(nil)
)
