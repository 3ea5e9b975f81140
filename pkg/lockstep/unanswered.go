package lockstep

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// Limits on logging unanswered orders.
const (
	// unansweredInterval is the time between two log lines about the same order.
	unansweredInterval = time.Second
	// maxLoggedRanks is the largest number of ranks that a log line lists.
	maxLoggedRanks = 16
)

// orderKey identifies an order that is sent to several ranks.
type orderKey struct {
	kind    holdswitch.OrderKind
	version expertmap.Version
	step    uint64
}

// recordResult records whether an agent lacks the map that a query refers to by its hash,
// and which ranks did not respond to an order. The coordinator handles the rest of a
// result.
func (c *coordination) recordResult(res *commandResult) {
	c.sendWholeMaps = c.sendWholeMaps || res.needsMap
	if res.result.Outcome != holdswitch.OutcomeUnanswered || res.needsMap {
		return
	}
	o := res.command.Order
	key := orderKey{kind: o.Kind, version: o.Version, step: o.Step}
	c.unanswered[key] = append(c.unanswered[key], res.command.Rank)
}

// logUnanswered logs the ranks that did not respond to an order, one line for each order.
func (a *Agent) logUnanswered(now time.Time) {
	c := a.coordination
	if c == nil || len(c.unanswered) == 0 || now.Before(c.nextUnanswered) {
		return
	}
	c.nextUnanswered = now.Add(unansweredInterval)
	for key, ranks := range c.unanswered {
		slices.Sort(ranks)
		ranks = slices.Compact(ranks)
		a.log.WithFields(logrus.Fields{
			"order": key.kind, "version": key.version, "step": key.step, "epoch": c.membership.Epoch,
			"count": len(ranks), "ranks": ranks[:min(maxLoggedRanks, len(ranks))],
		}).Warn("ranks did not respond to an order; their status is read before the next order")
	}
	clear(c.unanswered)
}
