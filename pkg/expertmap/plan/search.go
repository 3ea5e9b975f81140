package plan

import "slices"

// none stands for no expert in a move.
const none = -1

// move changes what one or two ranks hold. Rank a loads the expert in and drops
// the expert out; so does rank b when it takes part.
type move struct {
	a, inA, outA int
	b, inB, outB int
}

// swap exchanges experts of two ranks.
func swap(a, outA, b, outB int) move {
	return move{a: a, inA: outB, outA: outA, b: b, inB: outA, outB: outB}
}

// replace makes one rank hold another expert in place of one, or of none.
func replace(rank, in, out int) move {
	return move{a: rank, inA: in, outA: out, b: none, inB: none, outB: none}
}

// remove makes one rank hold an expert no more.
func remove(rank, out int) move { return replace(rank, none, out) }

// price returns how many experts the move loads. A removal loads none; its price
// keeps it from being preferred at any gain.
func (m *move) price() float64 {
	const removal = 0.5
	switch {
	case m.b != none:
		return 2
	case m.inA == none:
		return removal
	default:
		return 1
	}
}

// apply makes the move.
func (s *layerState) apply(m move) {
	if m.b == none {
		if m.outA != none {
			s.drop(m.a, m.outA)
		}
		if m.inA != none {
			s.add(m.a, m.inA)
		}
		return
	}
	s.drop(m.a, m.outA)
	s.drop(m.b, m.outB)
	s.add(m.a, m.inA)
	s.add(m.b, m.inB)
}

// gain returns by how much a move lowers the sum of penalties.
func (s *layerState) gain(m move) float64 {
	if m.b == none {
		return s.replaceGain(m.a, m.inA, m.outA)
	}
	a := s.load[m.a] - s.part(m.outA, s.replicas(m.outA)) + s.part(m.inA, s.replicas(m.inA))
	b := s.load[m.b] - s.part(m.outB, s.replicas(m.outB)) + s.part(m.inB, s.replicas(m.inB))
	return s.penalty(m.a, s.load[m.a]) - s.penalty(m.a, a) + s.penalty(m.b, s.load[m.b]) - s.penalty(m.b, b)
}

// replaceGain is the gain of a replace or remove. It touches every holder of
// both experts.
func (s *layerState) replaceGain(rank, in, out int) float64 {
	load, less, more := s.load[rank], 0.0, 0.0
	var inHolders, outHolders []int
	if in != none {
		n := s.replicas(in)
		inHolders = s.holders[in]
		less = s.part(in, n+1) - s.part(in, n)
		load += s.part(in, n+1)
	}
	if out != none {
		n := s.replicas(out)
		outHolders = s.holders[out]
		more = s.part(out, n-1) - s.part(out, n)
		load -= s.part(out, n)
	}
	gain := s.penalty(rank, s.load[rank]) - s.penalty(rank, load)
	for _, h := range outHolders {
		if h == rank {
			continue
		}
		change := more
		if slices.Contains(inHolders, h) {
			change += less
		}
		gain += s.penalty(h, s.load[h]) - s.penalty(h, s.load[h]+change)
	}
	for _, h := range inHolders {
		if !slices.Contains(outHolders, h) {
			gain += s.penalty(h, s.load[h]) - s.penalty(h, s.load[h]+less)
		}
	}
	return gain
}

// slowRanks is how many of the slowest ranks the search tries to relieve before
// it gives up.
const slowRanks = 4

// best returns the move of the slowest rank's experts that gains most for what
// it loads. When the slowest rank can't be relieved, the next ones are tried,
// since that may open a move for it.
func (s *layerState) best() (move, bool) {
	slow := s.slowest(slowRanks)
	least := leastGain * s.penalty(slow[0], s.load[slow[0]])
	for _, rank := range slow {
		c := chooser{state: s}
		for _, e := range s.held[rank] {
			c.spread(rank, e)
			c.relieve(rank, e)
		}
		if c.rate > least {
			return c.move, true
		}
	}
	return move{}, false
}

// leastGain is the least part of the slowest rank's penalty that a move must
// gain.
const leastGain = 1e-3

// chooser keeps the best move seen.
type chooser struct {
	state *layerState
	move  move
	rate  float64
}

func (c *chooser) consider(m move) {
	if rate := c.state.gain(m) / m.price(); rate > c.rate {
		c.rate = rate
		c.move = m
	}
}

// spread considers to hold an expert of the slow rank on other ranks as well, or
// in exchange for one of theirs.
func (c *chooser) spread(slow, expert int) {
	s := c.state
	for r := range s.held {
		if r == slow || s.holds(r, expert) {
			continue
		}
		if len(s.held[r]) < s.slots {
			c.consider(replace(r, expert, none))
		}
		for _, out := range s.held[r] {
			if s.replicas(out) > 1 {
				c.consider(replace(r, expert, out))
			}
			if !s.holds(slow, out) {
				c.consider(swap(slow, expert, r, out))
			}
		}
	}
}

// relieve considers to hold another expert on the slow rank in place of one.
func (c *chooser) relieve(slow, expert int) {
	s := c.state
	if s.replicas(expert) < 2 {
		return
	}
	c.consider(remove(slow, expert))
	for in := range s.work {
		if !s.holds(slow, in) {
			c.consider(replace(slow, in, expert))
		}
	}
}
