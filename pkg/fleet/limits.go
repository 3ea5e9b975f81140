package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// observeLimit records what a response states about the limit of its upstream. The caller holds
// the lock.
func (f *Direct) observeLimit(n *sendlimit.Notice) {
	if !f.dispatcher.Limits().Observe(n) {
		return
	}
	f.logLimit(n.Key, n.Service, n.Limited, n.Rate, "")
	if f.limitChanged != nil {
		f.limitChanged()
	}
}

// OnLimitChange sets a function that is called when this entry has received a response that
// changes the limit of an upstream. It must not block or call f.
func (f *Direct) OnLimitChange(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limitChanged = fn
}

// MergeLimits applies reports of another entry.
func (f *Direct) MergeLimits(reports []sendlimit.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := range reports {
		r := &reports[i]
		switch changed, err := f.dispatcher.Limits().Merge(r, now); {
		case err != nil:
			f.log.WithError(err).Warn("report of a limit ignored")
		case changed:
			f.logLimit(r.Key, r.Service, r.Limited, r.Rate, r.Entry)
		}
	}
}

// logLimit logs a change of the limit of an upstream, and the other entry that it is known
// from. The caller holds the lock.
func (f *Direct) logLimit(key sendlimit.Key, service string, limited bool, rate float64, reportedBy string) {
	log := f.log.WithFields(logrus.Fields{
		"upstream": key.Upstream, "incarnation": key.Incarnation, "service": service,
		"sent_last_second": f.dispatcher.SentLastSecond(service, key.Upstream, time.Now()),
	})
	if reportedBy != "" {
		log = log.WithField("reported_by", reportedBy)
	}
	if limited {
		log.WithField("limit_per_second", rate).Info("upstream names a limit")
		return
	}
	log.Info("upstream no longer names a limit")
}

// LimitReports returns what is known of the limits of upstreams.
func (f *Direct) LimitReports() []sendlimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.Limits().Reports(time.Now())
}

// Limits returns the limits that apply.
func (f *Direct) Limits() []sendlimit.Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.Limits().Limits(time.Now())
}

// LeaseRequests returns the requests for parts of limits to send to each home now.
func (f *Direct) LeaseRequests(entries []string, now time.Time) ceiling.Batches {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.Limits().LeaseRequests(entries, now)
}

// ApplyGrants applies the parts of limits that a home has granted.
func (f *Direct) ApplyGrants(grants ceiling.BatchResponse, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.Limits().ApplyGrants(grants, now)
}
