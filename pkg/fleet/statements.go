package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
	"github.com/acaciaglade/acaciaglade/pkg/statement"
)

// minLoggedPause is the shortest pause that is logged while an upstream has not resumed. An
// upstream may state shorter ones many times a second.
const minLoggedPause = time.Second

// ObserveStatement records what a response states about its upstream.
func (f *Direct) ObserveStatement(s statement.Statement) {
	if notify := f.observe(&s); notify != nil {
		notify()
	}
}

// observe records a statement. It returns the function that is to be called if it changes which
// upstreams are leaving.
func (f *Direct) observe(s *statement.Statement) (notify func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Limit.Valid {
		f.observeLimit(&sendlimit.Notice{
			Key: s.Key, Service: s.Service, Limited: s.Limit.Named, Rate: s.Limit.Rate, SentAt: s.SentAt, ReceivedAt: s.ReceivedAt,
		})
	}
	change, decisions := f.dispatcher.ObserveStatement(s, s.ReceivedAt)
	f.deliver(decisions)
	f.recordChange(s, change)
	if change.Leaving {
		return f.leavingChanged
	}
	return nil
}

// recordChange logs and counts what a statement has changed. The caller holds the lock.
func (f *Direct) recordChange(s *statement.Statement, change statement.Change) {
	if change == (statement.Change{}) {
		return
	}
	log := f.log.WithFields(logrus.Fields{
		"upstream": s.Upstream, "incarnation": s.Incarnation, "service": s.Service,
		"sent_last_second": f.dispatcher.SentLastSecond(s.Service, s.Upstream, s.ReceivedAt),
	})
	if change.Leaving {
		f.statements.WithLabelValues(string(statement.StateLeaving)).Inc()
		log.Info("upstream states that it is leaving; it gets no more requests")
	}
	if change.Paused {
		f.statements.WithLabelValues(string(statement.StatePaused)).Inc()
	}
	if change.Began || change.Paused && s.Pause >= minLoggedPause {
		log.WithFields(logrus.Fields{
			"stated_ms": s.Pause.Milliseconds(), "paused_ms": f.dispatcher.Statements().PausedUntil(s.Key).Sub(s.ReceivedAt).Milliseconds(),
		}).Info("upstream wants no requests for some time")
	}
	if change.Resumed {
		log.Info("upstream takes requests again after a pause")
	}
}

// OnLeavingChange sets a function that is called when another upstream has stated that it is
// leaving.
func (f *Direct) OnLeavingChange(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leavingChanged = fn
}

// Leaving returns the upstreams that have stated that they are leaving.
func (f *Direct) Leaving() []sendlimit.Key {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.Statements().Leaving()
}

// UpstreamStates returns the states of the upstreams that get no or few requests because they
// are leaving or want none.
func (f *Direct) UpstreamStates() []statement.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.UpstreamStates(time.Now())
}

func newStatementCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciaglade_upstream_statements_total",
		Help: "Statements of upstreams that they are leaving or want no requests for some time, by the state that began or was extended.",
	}, []string{"state"})
}

// RegisterMetrics registers the metrics of what upstreams state.
func (f *Direct) RegisterMetrics(registry prometheus.Registerer) {
	registry.MustRegister(f.statements, &stateCollector{fleet: f, desc: prometheus.NewDesc(
		"acaciaglade_upstream_states", "Upstreams that get no or few requests because they are leaving or want none, by state and by what it is known from.",
		[]string{"state", "source"}, nil,
	)})
}

// stateCollector implements prometheus.Collector.
type stateCollector struct {
	fleet *Direct
	desc  *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	type labels struct {
		state  statement.StateName
		source statement.Source
	}
	counts := map[labels]int{
		{statement.StateLeaving, statement.SourceResponse}: 0, {statement.StatePaused, statement.SourceResponse}: 0,
	}
	for _, s := range c.fleet.UpstreamStates() {
		counts[labels{s.State, s.Source}]++
	}
	for l, n := range counts {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(n), string(l.state), string(l.source))
	}
}
