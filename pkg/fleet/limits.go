package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// ObserveLimit records what a response states about the limit of its upstream.
func (f *Direct) ObserveLimit(n *sendlimit.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatcher.Limits().Observe(n) {
		f.logLimit(n)
	}
}

// logLimit logs a change of the limit of an upstream. The caller holds the lock.
func (f *Direct) logLimit(n *sendlimit.Notice) {
	log := f.log.WithFields(logrus.Fields{
		"upstream": n.Upstream, "incarnation": n.Incarnation, "service": n.Service,
		"sent_last_second": f.dispatcher.SentLastSecond(n.Service, n.Upstream, time.Now()),
	})
	if n.Limited {
		log.WithField("limit_per_second", n.Rate).Info("upstream names a limit")
		return
	}
	log.Info("upstream no longer names a limit")
}
