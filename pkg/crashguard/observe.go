package crashguard

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
)

// metrics holds the metrics of a guard.
type metrics struct {
	losses *prometheus.CounterVec
	parts  *prometheus.GaugeVec
	trials *prometheus.CounterVec
	sends  *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_upstream_losses_total",
			Help: "Upstreams that ended without notice while requests of this entry were there, by service and whether any of these had not begun.",
		}, []string{"service", "unbegun"}),
		parts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "acaciaglade_quarantine_parts",
			Help: "Parts of prompts that are suspected or quarantined, by state.",
		}, []string{"state"}),
		trials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_quarantine_trials_total",
			Help: "Requests that were sent to find out whether a part of their prompts ends upstreams, by result.",
		}, []string{"result"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_quarantine_sends_total",
			Help: "Calls of other entries with reports of upstreams that ended, by kind and result.",
		}, []string{"kind", "result"}),
	}
	registry.MustRegister(m.losses, m.parts, m.trials, m.sends)
	return m
}

// maxLoggedAttempts is the largest number of attempts in one log line.
const maxLoggedAttempts = 8

// loggedAttempt is an attempt in a log line.
type loggedAttempt struct {
	Request      string   `json:"request"`
	Organisation string   `json:"organisation"`
	Parts        []string `json:"parts"`
	Fingerprint  string   `json:"fingerprint"`
	SentMillis   int64    `json:"sent_ms_before"`
}

// logLoss logs and counts a loss.
func (g *Guard) logLoss(loss *quarantine.Loss) {
	unbegun := "no"
	if len(loss.Unbegun) > 0 {
		unbegun = "yes"
	}
	g.metrics.losses.WithLabelValues(loss.Upstream.Service, unbegun).Inc()
	logged := make([]loggedAttempt, 0, maxLoggedAttempts)
	for _, a := range loss.Unbegun[:min(maxLoggedAttempts, len(loss.Unbegun))] {
		logged = append(logged, loggedAttempt{
			Request: a.RequestID, Organisation: a.Organisation, Parts: a.Parts, Fingerprint: a.Fingerprint, SentMillis: loss.NoticedAt.Sub(a.SentAt).Milliseconds(),
		})
	}
	g.log.WithFields(logrus.Fields{
		"upstream": loss.Upstream.ID, "incarnation": loss.Upstream.Incarnation, "service": loss.Upstream.Service,
		"group": loss.Upstream.Group, "epoch": loss.Upstream.Epoch, "evidence": loss.Evidence,
		"unbegun": logged, "unbegun_count": len(loss.Unbegun), "begun_count": loss.Begun, "sent_last_second": loss.RecentlySent,
	}).Warn("upstream ended while requests were there")
}

// standingKey identifies a standing.
type standingKey struct{ service, part, organisation string }

// kindOf names what a part is in a log line.
func kindOf(part string) string {
	if quarantine.IsWholeRequest(part) {
		return "request"
	}
	return "part of prompts"
}

// logStandings logs the standings that have changed since the latest call, and counts them.
// The caller holds the lock.
func (g *Guard) logStandings(now time.Time) {
	changed := false
	current := make(map[standingKey]quarantine.Standing)
	counts := map[quarantine.State]int{quarantine.StateSuspected: 0, quarantine.StateQuarantined: 0}
	for _, s := range g.quarantine.Standings(now) {
		key := standingKey{s.Service, s.Part, s.Organisation}
		current[key] = s
		counts[s.State]++
		old := g.standings[key]
		if old.State == s.State && len(old.Upstreams) == len(s.Upstreams) {
			continue
		}
		changed = true
		g.log.WithFields(logrus.Fields{
			"service": s.Service, "prompt_part": s.Part, "organisation": s.Organisation, "upstreams": s.Upstreams, "organisations": s.Organisations,
			"reason": s.Reason, "trial_ms": s.TrialMillis,
		}).Warn(kindOf(s.Part) + " " + string(s.State))
	}
	for key, s := range g.standings {
		if _, ok := current[key]; !ok {
			changed = true
			g.log.WithFields(logrus.Fields{
				"service": s.Service, "prompt_part": s.Part, "organisation": s.Organisation, "was": s.State,
			}).Info(kindOf(s.Part) + " released")
		}
	}
	for state, n := range counts {
		g.metrics.parts.WithLabelValues(string(state)).Set(float64(n))
	}
	g.standings = current
	if changed {
		g.wakeStore()
	}
}
