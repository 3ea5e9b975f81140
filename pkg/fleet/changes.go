package fleet

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/dispatch"
)

// maxLoggedUpstreams is the largest number of upstreams named in one log line.
const maxLoggedUpstreams = 16

// logChanges logs the changes between the last list of upstreams and a new one: one line
// for each kind of change, and one for each group that opened, closed or entered a new
// epoch. The caller holds the lock.
func (f *Direct) logChanges(list []dispatch.Upstream) {
	next := make(map[string]dispatch.Upstream, len(list))
	for _, u := range list {
		next[u.ID] = u
	}
	for change, ids := range upstreamChanges(f.listed, next) {
		slices.Sort(ids)
		f.log.WithFields(logrus.Fields{
			"change": change, "count": len(ids), "upstreams": ids[:min(maxLoggedUpstreams, len(ids))], "listed": len(next),
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

// upstreamChanges returns the IDs of the changed upstreams by kind of change.
func upstreamChanges(before, after map[string]dispatch.Upstream) map[string][]string {
	out := make(map[string][]string)
	for id, u := range after {
		old, ok := before[id]
		switch {
		case !ok:
			out["added"] = append(out["added"], id)
		case old.Incarnation != u.Incarnation:
			out["restarted"] = append(out["restarted"], id)
		case old.Draining != u.Draining && u.Draining:
			out["leaving"] = append(out["leaving"], id)
		case old.Draining != u.Draining:
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
