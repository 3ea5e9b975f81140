package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// logger logs for one component.
type logger = *logrus.Entry

// agentMetrics holds the metrics of an agent.
type agentMetrics struct {
	refusals *prometheus.CounterVec
	running  prometheus.Gauge
}

func newAgentMetrics(reg prometheus.Registerer) *agentMetrics {
	m := &agentMetrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_agent_refusals_total",
			Help: "Attempts refused by the agent, by reason.",
		}, []string{"reason"}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciaglade_agent_running",
			Help: "Attempts admitted and not yet ended.",
		}),
	}
	reg.MustRegister(m.refusals, m.running)
	return m
}
