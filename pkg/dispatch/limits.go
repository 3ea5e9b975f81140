package dispatch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

func (u *Upstream) limitKey() sendlimit.Key {
	return sendlimit.Key{Upstream: u.ID, Incarnation: u.Incarnation}
}

// Limits returns the limits that upstreams name.
func (d *Dispatcher) Limits() *sendlimit.Table { return d.limits }

// SentLastSecond returns how many attempts this entry has sent to an upstream within about
// a second.
func (d *Dispatcher) SentLastSecond(service, upstream string, now time.Time) int {
	for _, c := range d.service(service).candidates {
		if c.ID == upstream {
			return c.recentSends.Count(now)
		}
	}
	return 0
}
