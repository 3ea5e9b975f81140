// Package crashguard watches an entry's attempts for upstreams that end, and logs what was
// running there. Package quarantine decides; this package does its I/O.
package crashguard

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/filter/attempt"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
)

// probeTimeout limits the probe of an upstream at which an attempt broke off. An upstream
// that has ended refuses connections within milliseconds.
const probeTimeout = 500 * time.Millisecond

// Guard implements attempt.Guard. It is safe for concurrent use.
type Guard struct {
	// probe opens a connection to an upstream.
	probe  func(ctx context.Context, address string) error
	losses *prometheus.CounterVec
	log    *logrus.Entry

	mu       sync.Mutex
	detector *quarantine.LossDetector
	// addresses are those of the upstreams of running attempts, by ticket ID.
	addresses map[string]string
	// probing are the upstreams that are being probed.
	probing map[quarantine.UpstreamKey]bool
}

// New returns a guard. probe opens a connection to an upstream and returns an error with
// syscall.ECONNREFUSED in its chain if the upstream refuses it.
func New(probe func(ctx context.Context, address string) error, registry prometheus.Registerer) *Guard {
	g := &Guard{
		probe: probe, log: logging.For("crashguard"), detector: quarantine.NewLossDetector(),
		addresses: make(map[string]string), probing: make(map[quarantine.UpstreamKey]bool),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_upstream_losses_total",
			Help: "Upstreams that ended without notice while requests of this entry were there, by service and whether any of these had not begun.",
		}, []string{"service", "unbegun"}),
	}
	registry.MustRegister(g.losses)
	return g
}

// RecordStart implements attempt.Guard.
func (g *Guard) RecordStart(ticketID string, r *pipe.Request, u fleet.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addresses[ticketID] = u.Address
	g.detector.RecordStart(quarantine.Attempt{
		ID: ticketID, RequestID: r.ID, Organisation: r.Organisation.Name, Parts: r.SharedParts, SentAt: time.Now(),
		Upstream: quarantine.Upstream{
			UpstreamKey: quarantine.UpstreamKey{ID: u.Report.Upstream, Incarnation: u.Report.Incarnation},
			Service:     r.Service.Name, Group: u.Group, Epoch: u.Epoch,
		},
	})
}

// RecordPart implements attempt.Guard.
func (g *Guard) RecordPart(ticketID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.RecordPart(ticketID)
}

// RecordEnd implements attempt.Guard.
func (g *Guard) RecordEnd(ticketID string, end attempt.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.detector.RecordEnd(ticketID, end == attempt.EndBroken, time.Now())
	address := g.addresses[ticketID]
	delete(g.addresses, ticketID)
	if a == nil {
		return
	}
	key := a.Upstream.UpstreamKey
	switch end {
	case attempt.EndReplaced:
		g.confirm(key, quarantine.LossReplaced)
	case attempt.EndBroken, attempt.EndUnreachable:
		if !g.probing[key] {
			g.probing[key] = true
			go g.probeUpstream(key, address)
		}
	}
}

// probeUpstream finds out whether an upstream still takes connections.
func (g *Guard) probeUpstream(key quarantine.UpstreamKey, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.probe(ctx, address)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.probing, key)
	switch {
	case err == nil:
		g.detector.RecordReachable(key)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.confirm(key, quarantine.LossRefused)
	}
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

// maxLoggedAttempts is the largest number of attempts in one log line.
const maxLoggedAttempts = 8

// loggedAttempt is an attempt in a log line.
type loggedAttempt struct {
	Request      string   `json:"request"`
	Organisation string   `json:"organisation"`
	Parts        []string `json:"parts"`
	SentMillis   int64    `json:"sent_ms_before"`
}

// recordLoss logs and counts a loss. The caller holds the lock.
func (g *Guard) recordLoss(loss *quarantine.Loss) {
	unbegun := "no"
	if len(loss.Unbegun) > 0 {
		unbegun = "yes"
	}
	g.losses.WithLabelValues(loss.Upstream.Service, unbegun).Inc()
	logged := make([]loggedAttempt, 0, maxLoggedAttempts)
	for _, a := range loss.Unbegun[:min(maxLoggedAttempts, len(loss.Unbegun))] {
		logged = append(logged, loggedAttempt{
			Request: a.RequestID, Organisation: a.Organisation, Parts: a.Parts, SentMillis: loss.NoticedAt.Sub(a.SentAt).Milliseconds(),
		})
	}
	g.log.WithFields(logrus.Fields{
		"upstream": loss.Upstream.ID, "incarnation": loss.Upstream.Incarnation, "service": loss.Upstream.Service,
		"group": loss.Upstream.Group, "epoch": loss.Upstream.Epoch, "evidence": loss.Evidence,
		"unbegun": logged, "unbegun_count": len(loss.Unbegun), "begun_count": loss.Begun, "sent_last_second": loss.RecentlySent,
	}).Warn("upstream ended while requests were there")
}

var _ attempt.Guard = (*Guard)(nil)
