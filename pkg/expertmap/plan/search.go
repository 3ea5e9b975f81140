package plan

import "slices"

// none stands for no expert or no rank.
const none = -1

// move changes the experts of one or two ranks. rankA loads the expert inA and drops the
// expert outA; rankB, unless it is none, does the same with inB and outB.
type move struct {
	rankA, inA, outA int
	rankB, inB, outB int
}

// swapMove exchanges experts of two ranks.
func swapMove(a, outA, b, outB int) move {
	return move{rankA: a, inA: outB, outA: outA, rankB: b, inB: outA, outB: outB}
}

// replaceMove replaces an expert of one rank. Either expert may be none.
func replaceMove(rank, in, out int) move {
	return move{rankA: rank, inA: in, outA: out, rankB: none, inB: none, outB: none}
}

// removeMove removes an expert from one rank.
func removeMove(rank, out int) move { return replaceMove(rank, none, out) }

// loadCost returns the number of experts that the move loads. A removal loads none; its
// nonzero cost prevents it from being preferred at any gain.
func (m *move) loadCost() float64 {
	const removal = 0.5
	switch {
	case m.rankB != none:
		return 2
	case m.inA == none:
		return removal
	default:
		return 1
	}
}

// apply carries out a move.
func (s *layerState) apply(m move) {
	if m.rankB == none {
		if m.outA != none {
			s.drop(m.rankA, m.outA)
		}
		if m.inA != none {
			s.add(m.rankA, m.inA)
		}
		return
	}
	s.drop(m.rankA, m.outA)
	s.drop(m.rankB, m.outB)
	s.add(m.rankA, m.inA)
	s.add(m.rankB, m.inB)
}

// gain returns the reduction of the total penalty by a move.
func (s *layerState) gain(m move) float64 {
	if m.rankB == none {
		return s.replaceGain(m.rankA, m.inA, m.outA)
	}
	a := s.load[m.rankA] - s.replicaWork(m.outA, s.replicas(m.outA)) + s.replicaWork(m.inA, s.replicas(m.inA))
	b := s.load[m.rankB] - s.replicaWork(m.outB, s.replicas(m.outB)) + s.replicaWork(m.inB, s.replicas(m.inB))
	return s.penalty(m.rankA, s.load[m.rankA]) - s.penalty(m.rankA, a) + s.penalty(m.rankB, s.load[m.rankB]) - s.penalty(m.rankB, b)
}

// replaceGain returns the gain of a replace or remove move. Such a move changes the load
// of every holder of both experts.
func (s *layerState) replaceGain(rank, in, out int) float64 {
	load, less, more := s.load[rank], 0.0, 0.0
	var inHolders, outHolders []int
	if in != none {
		n := s.replicas(in)
		inHolders = s.holders[in]
		less = s.replicaWork(in, n+1) - s.replicaWork(in, n)
		load += s.replicaWork(in, n+1)
	}
	if out != none {
		n := s.replicas(out)
		outHolders = s.holders[out]
		more = s.replicaWork(out, n-1) - s.replicaWork(out, n)
		load -= s.replicaWork(out, n)
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

// slowRanksTried is the number of slowest ranks that the search tries to relieve.
const slowRanksTried = 4

// bestMove returns the move with the highest gain per load for the experts of the slowest
// rank. If there is none with enough gain, the next slowest ranks are tried, since a move
// there may allow one for the slowest rank.
func (s *layerState) bestMove() (move, bool) {
	slow := s.slowest(slowRanksTried)
	minGain := minGainShare * s.penalty(slow[0], s.load[slow[0]])
	for _, rank := range slow {
		c := moveSelector{state: s}
		for _, e := range s.held[rank] {
			c.considerOtherRanks(rank, e)
			c.considerSlowRank(rank, e)
		}
		if c.rate > minGain {
			return c.move, true
		}
	}
	return move{}, false
}

// minGainShare is the minimum gain of a move as a fraction of the slowest rank's penalty.
const minGainShare = 1e-3

// moveSelector keeps the best move so far.
type moveSelector struct {
	state *layerState
	move  move
	rate  float64 // gain of the move for each expert that it loads
}

func (c *moveSelector) consider(m move) {
	if rate := c.state.gain(m) / m.loadCost(); rate > c.rate {
		c.rate = rate
		c.move = m
	}
}

// considerOtherRanks considers placing an expert of the slow rank on other ranks as well,
// or swapping it for one of their experts.
func (c *moveSelector) considerOtherRanks(slow, expert int) {
	s := c.state
	for r := range s.held {
		if r == slow || s.holds(r, expert) {
			continue
		}
		if len(s.held[r]) < s.slots {
			c.consider(replaceMove(r, expert, none))
		}
		for _, out := range s.held[r] {
			if s.replicas(out) > 1 {
				c.consider(replaceMove(r, expert, out))
			}
			if !s.holds(slow, out) {
				c.consider(swapMove(slow, expert, r, out))
			}
		}
	}
}

// considerSlowRank considers removing an expert from the slow rank or replacing it there.
func (c *moveSelector) considerSlowRank(slow, expert int) {
	s := c.state
	if s.replicas(expert) < 2 {
		return
	}
	c.consider(removeMove(slow, expert))
	for in := range s.work {
		if !s.holds(slow, in) {
			c.consider(replaceMove(slow, in, expert))
		}
	}
}
