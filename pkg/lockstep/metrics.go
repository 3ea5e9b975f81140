package lockstep

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// metrics holds an agent's metrics as a coordinator.
type metrics struct {
	events       *prometheus.CounterVec
	orders       *prometheus.CounterVec
	switchTime   prometheus.Histogram
	coordinating prometheus.Gauge
}

// switchTimeBuckets are in seconds; the target for a switch is about one second.
var switchTimeBuckets = []float64{0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 4, 8}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_map_switch_events_total", Help: "Steps of map switches, by what happened.",
		}, []string{"what"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_rank_orders_total", Help: "Orders to ranks, by kind and whether they were done, refused or not answered.",
		}, []string{"order", "verdict"}),
		switchTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "acaciaglade_map_switch_seconds", Help: "Time from the proposal of a map to the pass that uses it.", Buckets: switchTimeBuckets,
		}),
		coordinating: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaglade_coordinating", Help: "1 while this agent coordinates its group.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.events, m.orders, m.switchTime, m.coordinating)
	}
	return m
}

// countEvent counts an event of a switch, and observes the duration of a finished one.
func (m *metrics) countEvent(e *holdswitch.Event) {
	m.events.WithLabelValues(e.Name).Inc()
	if e.Settle > 0 {
		m.switchTime.Observe((e.Prepare + e.Arm + e.Settle).Seconds())
	}
}
