package lockstep

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// Bounds of the log of orders without an answer.
const (
	// unansweredInterval is the time between two lines about the same order.
	unansweredInterval = time.Second
	// namedRanks is how many ranks a line names.
	namedRanks = 16
)

// orderKey names an order to several ranks.
type orderKey struct {
	kind    holdswitch.OrderKind
	version expertmap.Version
	step    uint64
}

// note keeps what a result tells beside what the coordinator makes of it.
func (r *round) note(res *result) {
	r.mapUnknown = r.mapUnknown || res.needsMap
	if res.res.Outcome != holdswitch.OutcomeUnanswered || res.needsMap {
		return
	}
	o := res.cmd.Order
	key := orderKey{kind: o.Kind, version: o.Version, step: o.Step}
	r.unanswered[key] = append(r.unanswered[key], res.cmd.Rank)
}

// logUnanswered logs which ranks did not answer which orders, a line for each order.
func (a *Agent) logUnanswered(now time.Time) {
	r := a.run
	if r == nil || len(r.unanswered) == 0 || now.Before(r.nextUnanswered) {
		return
	}
	r.nextUnanswered = now.Add(unansweredInterval)
	for key, ranks := range r.unanswered {
		slices.Sort(ranks)
		ranks = slices.Compact(ranks)
		a.log.WithFields(logrus.Fields{
			"order": key.kind, "version": key.version, "step": key.step, "epoch": r.place.Epoch,
			"count": len(ranks), "ranks": ranks[:min(namedRanks, len(ranks))],
		}).Warn("ranks did not answer an order")
	}
	clear(r.unanswered)
}
