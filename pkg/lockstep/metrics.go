package lockstep

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// metrics counts what an agent does as a coordinator.
type metrics struct {
	events       *prometheus.CounterVec
	orders       *prometheus.CounterVec
	settled      prometheus.Histogram
	coordinating prometheus.Gauge
}

// settleBuckets are in seconds: a switch is meant to take about one.
var settleBuckets = []float64{0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 4, 8}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_map_switch_events_total", Help: "Steps of map switches, by what happened.",
		}, []string{"what"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_rank_orders_total", Help: "Orders to ranks, by kind and whether they were done, refused or not answered.",
		}, []string{"order", "verdict"}),
		settled: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "acaciaglade_map_switch_seconds", Help: "Time from the proposal of a map to the pass that uses it.", Buckets: settleBuckets,
		}),
		coordinating: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaglade_coordinating", Help: "1 while this agent coordinates its group.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.events, m.orders, m.settled, m.coordinating)
	}
	return m
}

// event counts a step of a switch.
func (m *metrics) event(e *holdswitch.Event) {
	m.events.WithLabelValues(e.Name).Inc()
	if e.Settle > 0 {
		m.settled.Observe((e.Prepare + e.Arm + e.Settle).Seconds())
	}
}
