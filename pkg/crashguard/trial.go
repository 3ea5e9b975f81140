package crashguard

import (
	"context"
	"maps"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/filter/attempt"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
)

// Limits of the calls for a trial.
const (
	// trialCallTimeout limits the call of one entry, many times the latency between hosts.
	trialCallTimeout = 150 * time.Millisecond
	// minAskInterval is the shortest time from one request that asks for the trial of a
	// service to the next at an entry.
	minAskInterval = 20 * time.Millisecond
	// maxTrialCalls is the number of entries that are called, one after the other.
	maxTrialCalls = 3
	// unreachableTime is how long an entry that could not be called is not asked again.
	unreachableTime = 10 * time.Second
)

// Results of trials, as values of metric labels.
const (
	trialBegun        = "begun"
	trialLost         = "broken_off"
	trialInconclusive = "inconclusive"
)

func trialOutcome(end attempt.End) string {
	if end == attempt.EndBroken || end == attempt.EndLost {
		return trialLost
	}
	return trialInconclusive
}

// beginTrial asks for the trial of a service, unless another request of this entry has asked
// for it lately. One entry, the same for all, grants it. If that one can't be reached, the
// next ones in a common order are asked, and at last this entry decides alone.
func (g *Guard) beginTrial(ctx context.Context, p *pass) bool {
	if !g.mayAsk(p.service) {
		return false
	}
	addresses := g.entryAddresses()
	names := g.reachableNames(addresses)
	call := peer.TrialRequest{Service: p.service, ID: g.cfg.Entry + "/" + p.id}
	for range maxTrialCalls {
		home := ceiling.HomeEntry(p.service, names)
		if home == "" || home == g.cfg.Entry {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, trialCallTimeout)
		reply, err := g.cfg.Peers.RequestTrial(callCtx, addresses[home], &call)
		cancel()
		if err == nil {
			p.trialAddress = addresses[home]
			return reply.Granted
		}
		g.log.WithError(err).WithField("entry", home).Info("trial not asked for; trying another entry")
		g.recordUnreachable(home)
		names = g.reachableNames(addresses)
	}
	p.trialAddress = ""
	return g.handleTrial(&call)
}

// mayAsk reports whether a trial of a service may be asked for, and records that it is. It
// bounds the calls however many requests wait.
func (g *Guard) mayAsk(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.nextAsk[service]) {
		return false
	}
	g.nextAsk[service] = now.Add(minAskInterval)
	return true
}

// entryAddresses returns the addresses of the entries by name, this one included.
func (g *Guard) entryAddresses() map[string]string {
	addresses := hosts.EntryAddresses(g.cfg.Hosts())
	if _, ok := addresses[g.cfg.Entry]; !ok {
		addresses[g.cfg.Entry] = ""
	}
	return addresses
}

// reachableNames returns the names of the entries that could be called lately, or were not.
func (g *Guard) reachableNames(addresses map[string]string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(g.unreachable, func(_ string, at time.Time) bool { return now.Sub(at) > unreachableTime })
	var names []string
	for name := range addresses {
		if _, ok := g.unreachable[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

func (g *Guard) recordUnreachable(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable[name] = time.Now()
}

// startTrial makes the pass a trial if that is still due. Otherwise it ends the trial.
func (g *Guard) startTrial(p *pass) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.trial = true
	verdict := g.quarantine.Check(p.service, p.organisation, p.parts, time.Now())
	if verdict.Action != quarantine.ActionTrial {
		g.endTrial(p, trialInconclusive)
		return false
	}
	g.passes[p.id] = p
	return true
}

// endTrial ends the trial of a pass. The caller holds the lock.
func (g *Guard) endTrial(p *pass, result string) {
	p.trial = false
	g.metrics.trials.WithLabelValues(result).Inc()
	call := peer.TrialRequest{Service: p.service, ID: g.cfg.Entry + "/" + p.id, End: true}
	address := p.trialAddress
	if address == "" {
		g.trials.End(call.Service, call.ID)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialCallTimeout)
		defer cancel()
		if _, err := g.cfg.Peers.RequestTrial(ctx, address, &call); err != nil {
			// The trial ends there by its timeout.
			g.log.WithError(err).WithField("entry", address).Info("end of a trial not sent")
		}
	}()
}

// handleTrial grants or ends a trial.
func (g *Guard) handleTrial(r *peer.TrialRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.End {
		g.trials.End(r.Service, r.ID)
		return false
	}
	granted, _ := g.trials.Begin(r.Service, r.ID, time.Now())
	return granted
}
