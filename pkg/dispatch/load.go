package dispatch

import (
	"slices"
	"time"
)

// Board is what the ranks of a group told their coordinator.
type Board struct {
	Group string
	Epoch uint64
	// At is when the ranks were asked.
	At time.Time
	// Pass is the usual time of a pass, 0 while it is unknown.
	Pass  time.Duration
	Ranks []RankLoad
}

// RankLoad is what one rank told.
type RankLoad struct {
	// Known is false for a rank that has not told for long.
	Known bool
	// Requests is how many run and wait there.
	Requests int
	// Pace is above 1 while the rank is slow.
	Pace float64
}

// Bounds of what is known of upstreams.
const (
	// loadLife is how long what was told of an upstream's requests counts; a request
	// takes about as long.
	loadLife = 1500 * time.Millisecond
	// slowPace is the pace from which on a rank gets no requests while others have
	// room: each pass lasts as long as the slowest rank's part.
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

// occupied estimates how many requests the candidate has.
func (c *candidate) occupied(now time.Time) int {
	age := now.Sub(c.othersAt)
	if age >= loadLife {
		return c.own.now
	}
	return c.own.now + int(float64(c.others)*(1-float64(age)/float64(loadLife)))
}

// SetBoard takes what a group's ranks told.
func (d *Dispatcher) SetBoard(b Board, now time.Time) []Decision {
	var decisions []Decision
	for _, s := range d.services {
		taken := false
		for _, c := range s.candidates {
			g := c.Group
			if g.Name != b.Group || g.Epoch != b.Epoch || g.Rank < 0 || g.Rank >= len(b.Ranks) || !b.Ranks[g.Rank].Known {
				continue
			}
			taken = true
			c.pace = b.Ranks[g.Rank].Pace
			c.tell(b.Ranks[g.Rank].Requests, b.At)
		}
		if taken {
			s.boardAt = b.At
			decisions = append(decisions, d.grant(s, now)...)
		}
	}
	return decisions
}

// choose returns the upstream for a request, or nil when none has room. Of those with
// room it is one with the least requests of this entry. What others have there is
// left out: it is known late, and entries that go by the same late knowledge crowd the
// same upstreams.
func (d *Dispatcher) choose(s *service, r *Request, now time.Time) *candidate {
	var fast, slow []option
	for _, c := range s.candidates {
		if !c.usable() || now.Before(c.avoidUntil) || slices.Contains(r.Tried, c.ID) || !d.room(s, c, now) {
			continue
		}
		o := option{candidate: c, load: float64(c.own.now)}
		if c.FailureDomain != d.cfg.FailureDomain {
			o.load += remoteWeight
		}
		if c.pace >= slowPace {
			slow = append(slow, o)
		} else {
			fast = append(fast, o)
		}
	}
	if len(fast) == 0 {
		fast = slow
	}
	return d.least(fast)
}

// option is a candidate that can take a request.
type option struct {
	candidate *candidate
	load      float64
}

// remoteWeight is how many requests less an upstream in another failure domain
// must have to be preferred: it costs traffic between failure domains.
const remoteWeight = 0.5

// least returns an option with the least load.
func (d *Dispatcher) least(options []option) *candidate {
	var best *candidate
	equal, least := 0, 0.0
	for _, o := range options {
		switch {
		case best == nil || o.load < least:
			best, least, equal = o.candidate, o.load, 1
		case o.load == least:
			equal++
			if d.rand.IntN(equal) == 0 {
				best = o.candidate
			}
		}
	}
	return best
}

// Coordinators returns the agents of the lowest ranks of each group, in the order of
// the ranks.
func (d *Dispatcher) Coordinators(standbys int) map[string][]string {
	out := make(map[string][]string)
	for _, s := range d.services {
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
