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
	groups := dispatch.GroupStates(list)
	for name, g := range groups {
		if old, ok := f.groups[name]; !ok || old.Epoch != g.Epoch || old.Open != g.Open {
			f.log.WithFields(logrus.Fields{"group": name, "epoch": g.Epoch, "open": g.Open, "ranks": g.Ranks}).Info("group changed")
		}
	}
	f.listed, f.groups = next, groups
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
