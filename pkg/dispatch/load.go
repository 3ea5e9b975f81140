package dispatch

import (
	"slices"
	"time"
)

// GroupLoad is what the ranks of a group told their coordinator.
type GroupLoad struct {
	Group string
	Epoch uint64
	// At is when the ranks were asked.
	At    time.Time
	Ranks []RankLoad
}

// RankLoad is what one rank told.
type RankLoad struct {
	// Known is false for a rank that has not told for long.
	Known bool
	// Requests is how many run and wait there.
	Requests int
	// Slowdown is above 1 while the rank is slow.
	Slowdown float64
}

// Bounds of what is known of upstreams.
const (
	// loadLife is how long what was told of an upstream's requests counts; a request
	// takes about as long.
	loadLife = 1500 * time.Millisecond
	// boardUse is for how long after its latest request an entry still asks how the
	// ranks of a group do, and for how long it goes by their pace.
	boardUse = 5 * time.Second
	// slowPace is the pace from which on a rank gets no requests unless all are slow:
	// each pass lasts as long as the slowest rank's part, which grows with its requests.
	slowPace = 1.4
)

// own follows how many attempts of this entry an upstream has, and had lately.
type own struct {
	now     int
	changes []change
}

type change struct {
	at    time.Time
	delta int
}

func (o *own) add(delta int, now time.Time) {
	o.now += delta
	for len(o.changes) > 0 && now.Sub(o.changes[0].at) > loadLife {
		o.changes = o.changes[1:]
	}
	o.changes = append(o.changes, change{at: now, delta: delta})
}

// at returns how many attempts there were at a time not long ago.
func (o *own) at(t time.Time) int {
	n := o.now
	for _, c := range o.changes {
		if c.at.After(t) {
			n -= c.delta
		}
	}
	return n
}

// tell records how many requests the candidate had at a time.
func (c *candidate) tell(total int, at time.Time) {
	if at.Before(c.othersAt) {
		return
	}
	c.others, c.othersAt = max(0, total-c.own.at(at)), at
}

// slow reports whether the candidate was lately known to be slow. Without a newer board
// it counts as sound again.
func (c *candidate) slow(now time.Time) bool {
	return c.pace >= slowPace && now.Sub(c.paceAt) < boardUse
}

// occupied estimates how many requests the candidate has.
func (c *candidate) occupied(now time.Time) int {
	age := now.Sub(c.othersAt)
	if age >= loadLife {
		return c.own.now
	}
	return c.own.now + int(float64(c.others)*(1-float64(age)/float64(loadLife)))
}

// SetGroupLoad takes what a group's ranks told.
func (d *Dispatcher) SetGroupLoad(b GroupLoad, now time.Time) []Decision {
	var decisions []Decision
	for _, s := range d.services {
		taken, total, slots := false, 0, 0
		for _, c := range s.candidates {
			g := c.Group
			if g.Name != b.Group || g.Epoch != b.Epoch || g.Rank < 0 || g.Rank >= len(b.Ranks) || !b.Ranks[g.Rank].Known {
				continue
			}
			taken = true
			total += b.Ranks[g.Rank].Requests
			slots += c.Slots
			c.pace, c.paceAt = b.Ranks[g.Rank].Slowdown, b.At
			c.tell(b.Ranks[g.Rank].Requests, b.At)
		}
		if taken {
			s.groups[b.Group] = groupLoad{at: b.At, requests: total, slots: slots}
			decisions = append(decisions, d.grant(s, now)...)
		}
	}
	return decisions
}

// groupLoad is what a board told of a whole group.
type groupLoad struct {
	at time.Time
	// requests is how many its ranks had, slots how many they run at once.
	requests, slots int
}

// full returns the groups of a service that bear no more requests. What runs and waits
// in all ranks of a group is known from its latest board; since then the other entries
// are taken to have sent and ended as many as this one.
func (d *Dispatcher) full(s *service, now time.Time) map[string]bool {
	var full map[string]bool
	for name, g := range s.groups {
		if now.Sub(g.at) >= loadLife {
			continue
		}
		since := 0
		for _, c := range s.candidates {
			if c.Group.Name == name {
				since += c.own.now - c.own.at(g.at)
			}
		}
		if g.requests+since*max(1, d.parts) >= g.slots {
			if full == nil {
				full = make(map[string]bool)
			}
			full[name] = true
		}
	}
	return full
}

// busyPart is the part of its slots from which on a group counts as nearly full.
const busyPart = 0.6

// IsGroupBusy reports whether a group is nearly full, requests wait for it, or its passes are
// too long.
func (d *Dispatcher) IsGroupBusy(group string) bool {
	for _, s := range d.services {
		if g, ok := s.groups[group]; ok {
			return s.lanes.Len() > 0 || s.pulse.over > 0 || float64(g.requests) > busyPart*float64(g.slots)
		}
	}
	return false
}

// choose returns the upstream for a request, or nil when none has room. Of those with
// room it is one with the least requests of this entry. What others have there is
// left out: it is known late, and entries that go by the same late knowledge crowd the
// same upstreams. Groups that are full are passed over.
func (d *Dispatcher) choose(s *service, r *Request, full map[string]bool, now time.Time) *candidate {
	sound := s.anySound(now)
	var best *candidate
	equal, least := 0, 0.0
	for _, c := range s.candidates {
		if full[c.Group.Name] || sound && c.slow(now) || !c.usable() || now.Before(c.avoidUntil) || slices.Contains(r.TriedUpstreams, c.ID) || !d.room(s, c, now) {
			continue
		}
		load := float64(c.own.now)
		if c.FailureDomain != d.cfg.FailureDomain {
			load += remoteWeight
		}
		switch {
		case best == nil || load < least:
			best, least, equal = c, load, 1
		case load == least:
			equal++
			if d.rand.IntN(equal) == 0 {
				best = c
			}
		}
	}
	return best
}

// remoteWeight is how many requests less an upstream in another failure domain
// must have to be preferred: it costs traffic between failure domains.
const remoteWeight = 0.5

// Coordinators returns the agents of the lowest ranks of each group, in the order of
// the ranks. Groups to which this entry has sent nothing lately are left out.
func (d *Dispatcher) Coordinators(standbys int, now time.Time) map[string][]string {
	out := make(map[string][]string)
	for _, s := range d.services {
		if now.Sub(s.grantedAt) > boardUse {
			continue
		}
		for _, c := range s.candidates {
			if g := c.Group; g.Name != "" && c.Agent != "" && g.Rank < standbys {
				list := out[g.Name]
				if list == nil {
					list = make([]string, standbys)
					out[g.Name] = list
				}
				list[g.Rank] = c.Agent
			}
		}
	}
	for group, list := range out {
		out[group] = slices.DeleteFunc(list, func(agent string) bool { return agent == "" })
	}
	return out
}
