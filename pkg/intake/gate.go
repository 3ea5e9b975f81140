package intake

import (
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/logging"
)

// Cause is why a client was refused or ended.
type Cause string

// Causes.
const (
	// CauseMemory means that the budget is used up.
	CauseMemory Cause = "memory"
	// CauseConnections means that the listener has as many connections as it may have.
	CauseConnections Cause = "connections"
	// CauseHeadTooLarge means that the head of a request is longer than allowed.
	CauseHeadTooLarge Cause = "head_too_large"
	// CauseSlowBody means that the body of a request arrived too slowly.
	CauseSlowBody Cause = "slow_body"
	// CauseSlowReader means that a response was not read.
	CauseSlowReader Cause = "slow_reader"
)

// Gate holds the limits of a process's listeners. It is safe for concurrent use.
type Gate struct {
	limits   Limits
	refusals *prometheus.CounterVec
	log      *logrus.Entry

	mu    sync.Mutex
	table *Table
	conns map[*Client]*Conn
	// reported is when the refusals since then were last logged, by cause.
	reported map[Cause]time.Time
	since    map[Cause]int
}

// New returns a gate for a process with some limits.
func New(l Limits, registry prometheus.Registerer) *Gate {
	l = l.Complete()
	g := &Gate{
		limits: l, table: NewTable(l.budget()), conns: make(map[*Client]*Conn), log: logging.For("intake"),
		reported: make(map[Cause]time.Time), since: make(map[Cause]int),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_intake_refusals_total",
			Help: "Connections and requests that were refused or ended because of a limit of the process, by listener and cause.",
		}, []string{"listener", "cause"}),
	}
	registry.MustRegister(g.refusals, &collector{
		gate:        g,
		held:        prometheus.NewDesc("acaciaglade_intake_held_bytes", "Memory that is charged for what clients have sent or not yet read.", nil, nil),
		budget:      prometheus.NewDesc("acaciaglade_intake_budget_bytes", "Most memory that is charged for what clients have sent or not yet read.", nil, nil),
		connections: prometheus.NewDesc("acaciaglade_intake_connections", "Open connections, by listener.", []string{"listener"}, nil),
		limit:       prometheus.NewDesc("acaciaglade_intake_connections_limit", "Most open connections, by listener.", []string{"listener"}, nil),
	})
	return g
}

// collector implements prometheus.Collector.
type collector struct {
	gate                             *Gate
	held, budget, connections, limit *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.held, c.budget, c.connections, c.limit} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	t := c.gate.table
	out <- prometheus.MustNewConstMetric(c.held, prometheus.GaugeValue, float64(t.used))
	out <- prometheus.MustNewConstMetric(c.budget, prometheus.GaugeValue, float64(t.budget))
	for _, g := range t.groups {
		out <- prometheus.MustNewConstMetric(c.connections, prometheus.GaugeValue, float64(len(g.clients)), g.name)
		out <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, float64(g.limit), g.name)
	}
}

// reportInterval is the time between two log lines about refusals with the same cause.
const reportInterval = 10 * time.Second

// record counts a refusal. It logs one line for all refusals of a cause within an interval. The
// caller holds the lock.
func (g *Gate) record(listener string, cause Cause, now time.Time) {
	g.refusals.WithLabelValues(listener, string(cause)).Inc()
	g.since[cause]++
	if now.Sub(g.reported[cause]) < reportInterval {
		return
	}
	g.log.WithFields(logrus.Fields{
		"listener": listener, "cause": cause, "count": g.since[cause], "held_bytes": g.table.used, "budget_bytes": g.table.budget,
	}).Warn("clients refused or ended to stay within the limits of the process")
	g.reported[cause], g.since[cause] = now, 0
}

// open adds a connection. It returns nil if the listener is full.
func (g *Gate) open(l *Listener, inner net.Conn) *Conn {
	now := time.Now()
	g.mu.Lock()
	client, ended := g.table.Open(l.group, now)
	var closing *Conn
	if ended != nil || client == nil {
		g.record(l.Name, CauseConnections, now)
		closing = g.conns[ended]
		delete(g.conns, ended)
	}
	var c *Conn
	if client != nil {
		c = &Conn{Conn: inner, listener: l, client: client}
		g.conns[client] = c
	}
	g.mu.Unlock()
	if closing != nil {
		closing.interrupt()
		// The connection has no request, so nobody waits for the error.
		_ = closing.Close()
	}
	return c
}

// remove removes a connection.
func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c.client]; ok {
		delete(g.conns, c.client)
		g.table.Close(c.client)
	}
}

// charge charges a client, and ends others for it if that is needed. The caller holds the lock.
func (g *Gate) charge(c *Client, n int64, now time.Time) bool {
	ok, ended := g.table.Charge(c, n, now)
	for _, v := range ended {
		g.record(v.group.name, CauseMemory, now)
		g.conns[v].interrupt()
	}
	return ok
}

// recordSlowReader counts a client that did not read its response.
func (g *Gate) recordSlowReader(listener string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record(listener, CauseSlowReader, time.Now())
}
