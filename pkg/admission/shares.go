package admission

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// ReconcileCost corrects the attained service of an attempt's organisation by the
// difference between the real and the expected cost.
func (g *Gate) ReconcileCost(a *api.AttemptRequest, cost float64, now time.Time) {
	g.shares.Add(a.Organisation, a.Entry, a.Weight, cost-a.Cost, now)
}

// ReportFor returns the next report to an entry, with the attained service that the
// entry has not received yet, if it requests that.
func (g *Gate) ReportFor(q *api.ReportRequest, now time.Time) api.Report {
	report := g.Report()
	s := q.Shares
	if s == nil {
		return report
	}
	cursor := s.Cursor
	if s.Incarnation != g.cfg.Incarnation {
		cursor = 0
	}
	report.Shares = g.shares.Report(s.Entry, cursor, now)
	return report
}
