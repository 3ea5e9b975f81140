package crashguard

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
)

// Limits of the exchange of reports.
const (
	// syncInterval is the mean time between two comparisons with another entry.
	syncInterval = 1500 * time.Millisecond
	// sendTimeout limits one call of another entry.
	sendTimeout = 500 * time.Millisecond
	// maxConcurrentSends is the number of entries that are called at once.
	maxConcurrentSends = 16
	// syncTries is the number of entries that are tried until one responds.
	syncTries = 3
	// maxExchangeBytes limits a message: the reports of some hundred losses.
	maxExchangeBytes = 4 << 20
	// maxSyncTime is how long after its start an entry waits for the reports in the store.
	// After that it relies on the other entries.
	maxSyncTime = 3 * time.Second
	// sweepInterval is the time between two sweeps for expired reports.
	sweepInterval = time.Minute
	// settleCheckInterval is the time between two looks for standings that have changed
	// by time alone.
	settleCheckInterval = 100 * time.Millisecond
)

// recordSynced records that the reports in the store are known, or that the entry does not
// wait for them any longer.
func (g *Guard) recordSynced() { g.syncedOnce.Do(func() { close(g.synced) }) }

// Run sends reports to the other entries, compares reports with them and keeps the store
// up to date, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	if g.cfg.Store == nil {
		g.recordSynced()
	} else {
		go g.watchStore(ctx)
		go g.writeStore(ctx)
		defer time.AfterFunc(maxSyncTime, g.recordSynced).Stop()
	}
	go g.runSync(ctx)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		timer := time.NewTimer(g.untilDue(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-sweep.C:
			g.mu.Lock()
			g.quarantine.Sweep(time.Now())
			g.detector.Expire(time.Now())
			g.update()
			g.mu.Unlock()
		case <-g.wake:
		case <-timer.C:
		}
		timer.Stop()
		g.sendDue(ctx)
	}
}

// untilDue returns the time until a report is due or a standing may change by time alone.
func (g *Guard) untilDue(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := sweepInterval
	if at, ok := g.quarantine.NextDue(); ok {
		wait = at.Sub(now)
	}
	for _, s := range g.standings {
		if s.IsSettling() {
			wait = min(wait, settleCheckInterval)
		}
	}
	return max(0, wait)
}

// sendDue sends the reports that are due to all other entries.
func (g *Guard) sendDue(ctx context.Context) {
	g.mu.Lock()
	now := time.Now()
	reports := g.quarantine.Due(now)
	g.logStandings(now)
	g.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	message := peer.ReportExchange{Reports: reports}
	go g.sendToAll(ctx, &message)
}

// sendToAll sends a message to all other entries. Those that it does not reach get the
// reports at their next comparison.
func (g *Guard) sendToAll(ctx context.Context, message *peer.ReportExchange) {
	addresses := g.otherEntries()
	var reached atomic.Int64
	defer func() { g.setIsolated(2*int(reached.Load()) < len(addresses)) }()
	slots := make(chan struct{}, maxConcurrentSends)
	var sends sync.WaitGroup
	for _, address := range addresses {
		slots <- struct{}{}
		sends.Go(func() {
			defer func() { <-slots }()
			if _, err := g.exchange(ctx, "new", address, message); err != nil {
				g.log.WithError(err).WithField("entry", address).Info("report not sent; the entry gets it with its next comparison")
				return
			}
			reached.Add(1)
		})
	}
	sends.Wait()
}

// setIsolated records whether most of the other entries can't be reached.
func (g *Guard) setIsolated(isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.SetIsolated(isolated)
	g.update()
}

// otherEntries returns the addresses of the other entries, ordered by name.
func (g *Guard) otherEntries() []string {
	addresses := g.entryAddresses()
	delete(addresses, g.cfg.Entry)
	out := make([]string, 0, len(addresses))
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		out = append(out, addresses[name])
	}
	return out
}

// exchange sends a message to an entry and merges the reports in its response.
func (g *Guard) exchange(ctx context.Context, kind, address string, message *peer.ReportExchange) (*peer.ReportExchange, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := g.cfg.Peers.ExchangeReports(ctx, address, message)
	if err != nil {
		g.metrics.sends.WithLabelValues(kind, "failed").Inc()
		return nil, err
	}
	g.metrics.sends.WithLabelValues(kind, "ok").Inc()
	g.merge(reply.Reports)
	return reply, nil
}

// merge merges reports of another entry.
func (g *Guard) merge(reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for i := range reports {
		if err := g.quarantine.Merge(&reports[i], now); err != nil {
			g.log.WithError(err).Warn("report ignored")
		}
	}
	g.quarantine.RecordReceived(reports)
	g.update()
}

// runSync compares the reports with those of a random entry again and again.
func (g *Guard) runSync(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	for ctx.Err() == nil {
		entries := g.otherEntries()
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		for _, address := range entries[:min(syncTries, len(entries))] {
			if g.compare(ctx, address) == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncInterval/2 + time.Duration(random.Int64N(int64(syncInterval)))):
		}
	}
}

// compare gets the reports of an entry if they differ from the own ones, and sends it the
// own ones if they still differ then.
func (g *Guard) compare(ctx context.Context, address string) error {
	reply, err := g.exchange(ctx, "comparison", address, &peer.ReportExchange{Compare: true, Digest: g.digest()})
	if err != nil || reply.Digest == g.digest() {
		return err
	}
	g.mu.Lock()
	message := peer.ReportExchange{Reports: g.quarantine.Reports(time.Now())}
	g.mu.Unlock()
	_, err = g.exchange(ctx, "comparison", address, &message)
	return err
}

func (g *Guard) digest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Digest()
}

// RegisterPeerRoutes adds the routes that other entries call.
func (g *Guard) RegisterPeerRoutes(group *echo.Group) {
	group.POST(peer.PathReports, g.serveReports)
	group.POST(peer.PathTrials, func(c echo.Context) error {
		var r peer.TrialRequest
		if err := decode(c, &r); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return c.JSON(http.StatusOK, peer.TrialReply{Granted: g.handleTrial(&r)})
	})
}

// serveReports merges the reports of another entry. For a comparison it responds with the
// own reports if they differ.
func (g *Guard) serveReports(c echo.Context) error {
	var message peer.ReportExchange
	if err := decode(c, &message); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	g.merge(message.Reports)
	g.mu.Lock()
	reply := peer.ReportExchange{Digest: g.quarantine.Digest()}
	if message.Compare && message.Digest != reply.Digest {
		reply.Reports = g.quarantine.Reports(time.Now())
	}
	g.mu.Unlock()
	return c.JSON(http.StatusOK, reply)
}

func decode(c echo.Context, out any) error {
	return json.NewDecoder(io.LimitReader(c.Request().Body, maxExchangeBytes)).Decode(out)
}
