package fleet

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/dispatch"
)

// maxNamed is how many upstreams one log line names.
const maxNamed = 16

// logChanges logs how a list of upstreams differs from the one before: one line for
// all upstreams with the same change, and one for each group that opened, broke or
// was formed anew. The caller holds the lock.
func (f *Direct) logChanges(list []dispatch.Upstream) {
	next := make(map[string]dispatch.Upstream, len(list))
	for _, u := range list {
		next[u.ID] = u
	}
	for what, ids := range upstreamChanges(f.listed, next) {
		slices.Sort(ids)
		f.log.WithFields(logrus.Fields{
			"change": what, "count": len(ids), "upstreams": ids[:min(maxNamed, len(ids))], "listed": len(next),
		}).Info("upstreams changed")
	}
	before, after := groupsOf(f.listed), groupsOf(next)
	for name, g := range after {
		if old, ok := before[name]; !ok || old.epoch != g.epoch || old.open != g.open {
			f.log.WithFields(logrus.Fields{"group": name, "epoch": g.epoch, "open": g.open, "ranks": g.ranks}).Info("group changed")
		}
	}
	f.listed = next
}

// upstreamChanges returns the IDs of the upstreams that changed, by change.
func upstreamChanges(before, after map[string]dispatch.Upstream) map[string][]string {
	out := make(map[string][]string)
	for id, u := range after {
		old, ok := before[id]
		switch {
		case !ok:
			out["added"] = append(out["added"], id)
		case old.Incarnation != u.Incarnation:
			out["restarted"] = append(out["restarted"], id)
		case old.Leaving != u.Leaving && u.Leaving:
			out["leaving"] = append(out["leaving"], id)
		case old.Leaving != u.Leaving:
			out["returned"] = append(out["returned"], id)
		}
	}
	for id := range maps.Keys(before) {
		if _, ok := after[id]; !ok {
			out["removed"] = append(out["removed"], id)
		}
	}
	return out
}

// groupView is what the listed ranks of a group say of it.
type groupView struct {
	epoch uint64
	// open is true when all ranks of the newest epoch say so.
	open  bool
	ranks int
}

func groupsOf(list map[string]dispatch.Upstream) map[string]groupView {
	out := make(map[string]groupView)
	for _, u := range list {
		if u.Group.Name == "" {
			continue
		}
		g, ok := out[u.Group.Name]
		switch {
		case !ok || u.Group.Epoch > g.epoch:
			g = groupView{epoch: u.Group.Epoch, open: u.Group.Open, ranks: 1}
		case u.Group.Epoch == g.epoch:
			g.open = g.open && u.Group.Open
			g.ranks++
		}
		out[u.Group.Name] = g
	}
	return out
}
