package dispatch

import (
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// GroupLoad is the load of a group's ranks as reported by its coordinator.
type GroupLoad struct {
	Group string
	Epoch uint64
	// At is when the coordinator queried the ranks.
	At    time.Time
	Ranks []RankLoad
}

// RankLoad is the reported load of one rank.
type RankLoad struct {
	// Known is false if the rank's latest report is too old.
	Known bool
	// Requests is the number of running and waiting requests at the rank.
	Requests int
	// Slowdown is the factor by which the rank is slower than normal, above 1 while it
	// is slow.
	Slowdown float64
}

// Limits on the use of reported load.
const (
	// loadMaxAge is how long a reported number of requests is used. It is about the
	// duration of a request.
	loadMaxAge = 1500 * time.Millisecond
	// groupLoadMaxAge is how long an entry polls the load of a group after its latest
	// request to it, and how long it uses a reported slowdown.
	groupLoadMaxAge = 5 * time.Second
	// slowdownThreshold is the slowdown from which on a rank gets no requests unless
	// all are slow: a pass takes as long as its slowest rank, whose time grows with its
	// requests.
	slowdownThreshold = 1.4
)

// ownAttempts counts this entry's running attempts at an upstream, now and in the recent
// past.
type ownAttempts struct {
	current int
	changes []change
}

// change is the start (delta 1) or the end (delta -1) of an attempt.
type change struct {
	at    time.Time
	delta int
}

func (o *ownAttempts) add(delta int, now time.Time) {
	o.current += delta
	for len(o.changes) > 0 && now.Sub(o.changes[0].at) > loadMaxAge {
		o.changes = o.changes[1:]
	}
	o.changes = append(o.changes, change{at: now, delta: delta})
}

// countAt returns the number of attempts at a time that is at most loadMaxAge ago.
func (o *ownAttempts) countAt(t time.Time) int {
	n := o.current
	for _, c := range o.changes {
		if c.at.After(t) {
			n -= c.delta
		}
	}
	return n
}

// recordLoad records the total number of requests that the candidate had at a time. Those
// that are not attempts of this entry are counted as attempts of other entries.
func (c *candidate) recordLoad(total int, at time.Time) {
	if at.Before(c.otherAttemptsAt) {
		return
	}
	c.otherAttempts, c.otherAttemptsAt = max(0, total-c.ownAttempts.countAt(at)), at
}

// isSlow reports whether the candidate was recently reported as slow. Without a newer
// report it counts as healthy again after groupLoadMaxAge.
func (c *candidate) isSlow(now time.Time) bool {
	return c.slowdown >= slowdownThreshold && now.Sub(c.slowdownAt) < groupLoadMaxAge
}

// estimateLoad estimates the number of requests that the candidate has. The reported
// attempts of other entries decay linearly until loadMaxAge.
func (c *candidate) estimateLoad(now time.Time) int {
	age := now.Sub(c.otherAttemptsAt)
	if age >= loadMaxAge {
		return c.ownAttempts.current
	}
	return c.ownAttempts.current + int(float64(c.otherAttempts)*(1-float64(age)/float64(loadMaxAge)))
}

// SetGroupLoad applies a reported load of a group and returns the decisions that follow.
func (d *Dispatcher) SetGroupLoad(load GroupLoad, now time.Time) []Decision {
	var decisions []Decision
	for _, s := range d.services {
		applied, total, slots := false, 0, 0
		for _, c := range s.candidates {
			g := c.Group
			if g.Name != load.Group || g.Epoch != load.Epoch || g.Rank < 0 || g.Rank >= len(load.Ranks) || !load.Ranks[g.Rank].Known {
				continue
			}
			applied = true
			total += load.Ranks[g.Rank].Requests
			slots += c.Slots
			c.slowdown, c.slowdownAt = load.Ranks[g.Rank].Slowdown, load.At
			c.recordLoad(load.Ranks[g.Rank].Requests, load.At)
		}
		if applied {
			s.groups[load.Group] = groupTotals{at: load.At, requests: total, slots: slots}
			decisions = append(decisions, d.dispatch(s, now)...)
		}
	}
	return decisions
}

// groupTotals sums up the latest load of a group.
type groupTotals struct {
	at time.Time
	// requests is the number of requests at its ranks, slots how many they run at once.
	requests, slots int
}

// fullGroups returns the groups of a service that have no free slot. The number of
// requests at all ranks is taken from the latest group load; since then, each other entry
// is assumed to have sent and ended as many requests as this one.
func (d *Dispatcher) fullGroups(s *service, now time.Time) map[string]bool {
	var full map[string]bool
	for name, g := range s.groups {
		if now.Sub(g.at) >= loadMaxAge {
			continue
		}
		startedSince := 0
		for _, c := range s.candidates {
			if c.Group.Name == name {
				startedSince += c.ownAttempts.current - c.ownAttempts.countAt(g.at)
			}
		}
		if g.requests+startedSince*max(1, d.limitDivisor) >= g.slots {
			if full == nil {
				full = make(map[string]bool)
			}
			full[name] = true
		}
	}
	return full
}

// busyFraction is the fraction of occupied slots above which a group is nearly full.
const busyFraction = 0.6

// IsGroupBusy reports whether a group is nearly full, requests wait for its service, or
// its passes exceed the pause limit. The load of a busy group is polled more often.
func (d *Dispatcher) IsGroupBusy(group string) bool {
	for _, s := range d.services {
		if g, ok := s.groups[group]; ok {
			return s.queues.Len() > 0 || s.passes.longPasses > 0 || float64(g.requests) > busyFraction*float64(g.slots)
		}
	}
	return false
}

// selectUpstream returns the upstream for a request, or nil if none has free capacity.
// Those whose limit must be confirmed go first, since any idle upstream would otherwise keep the
// request from them. Then come those that name no limit.
func (d *Dispatcher) selectUpstream(s *service, r *Request, fullGroups map[string]bool, now time.Time) *candidate {
	if d.limits.IsEmpty() {
		return d.selectAmong(s, r, fullGroups, now, func(sendlimit.Key) bool { return true })
	}
	if best := d.selectAmong(s, r, fullGroups, now, func(k sendlimit.Key) bool { return d.limits.MustConfirm(k, now) }); best != nil {
		return best
	}
	if best := d.selectAmong(s, r, fullGroups, now, func(k sendlimit.Key) bool { return !d.limits.IsLimited(k) }); best != nil {
		return best
	}
	return d.selectAmong(s, r, fullGroups, now, func(k sendlimit.Key) bool { return d.limits.IsLimited(k) && d.limits.Allows(k, now) })
}

// selectAmong returns one of the accepted upstreams with free capacity, or nil. It prefers
// the upstream with the fewest requests of this entry. Requests of other entries don't
// count here: they are reported late, and entries that act on the same stale load overload
// the same upstreams. Full groups are skipped.
func (d *Dispatcher) selectAmong(s *service, r *Request, fullGroups map[string]bool, now time.Time, accept func(sendlimit.Key) bool) *candidate {
	anyHealthy := s.hasHealthy(now)
	var best *candidate
	ties, minLoad := 0, 0.0
	for _, c := range s.candidates {
		if fullGroups[c.Group.Name] || anyHealthy && c.isSlow(now) || !c.isUsable() || !c.mayGetRequest(now) || now.Before(c.avoidUntil) || slices.Contains(r.TriedUpstreams, c.ID) || !d.hasCapacity(s, c, now) || !accept(c.limitKey()) {
			continue
		}
		load := float64(c.ownAttempts.current)
		if c.FailureDomain != d.cfg.FailureDomain {
			load += remotePenalty
		}
		switch {
		case best == nil || load < minLoad:
			best, minLoad, ties = c, load, 1
		case load == minLoad:
			ties++
			if d.rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// remotePenalty is added to the load of an upstream in another failure domain, as it
// costs traffic between failure domains.
const remotePenalty = 0.5

// CoordinatorAgents returns, for each group, the agents of its lowest ranks in rank order;
// these may coordinate the group. Groups of services to which this entry has recently
// sent no request are left out.
func (d *Dispatcher) CoordinatorAgents(candidateCount int, now time.Time) map[string][]string {
	agents := make(map[string][]string)
	for _, s := range d.services {
		if now.Sub(s.lastDispatchAt) > groupLoadMaxAge {
			continue
		}
		for _, c := range s.candidates {
			if g := c.Group; g.Name != "" && c.Agent != "" && g.Rank >= 0 && g.Rank < candidateCount {
				list := agents[g.Name]
				if list == nil {
					list = make([]string, candidateCount)
					agents[g.Name] = list
				}
				list[g.Rank] = c.Agent
			}
		}
	}
	for group, list := range agents {
		agents[group] = slices.DeleteFunc(list, func(agent string) bool { return agent == "" })
	}
	return agents
}
