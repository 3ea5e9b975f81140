package selection

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Blocks of a prompt whose cached prefix is worth a detour.
const (
	// prefixBlock is the size of a block in bytes.
	prefixBlock = 256
	// prefixBlocks is how many leading blocks count at most.
	prefixBlocks = 4
)

// PrefixOf returns the hash of a prompt's leading whole blocks, or 0 when it has
// none.
func PrefixOf(prompt []byte) uint64 {
	n := min(prefixBlocks, len(prompt)/prefixBlock) * prefixBlock
	if n == 0 {
		return 0
	}
	return max(1, xxhash.Sum64(prompt[:n]))
}

// PrefixAffinity is a Policy that sends prompts with the same leading blocks to the
// same few upstreams, as long as those are not loaded above the others. Each
// prefix orders the upstreams by rendezvous hashing; the first whose load is near
// the mean is taken. It needs no cache events and so none can mislead it.
type PrefixAffinity struct {
	// Limits bound the use of candidates.
	Limits
	// Rand is the source of the choices for work without a prefix.
	Rand *rand.Rand
	// Slack is how far above the mean load a preferred upstream may be, as a
	// fraction of its limit.
	Slack float64
}

// Choose implements Policy.
func (p *PrefixAffinity) Choose(candidates []Candidate, w Request, now time.Time) int {
	if w.Prefix == 0 || w.Priority {
		plain := TwoChoices{Limits: p.Limits, Rand: p.Rand}
		return plain.Choose(candidates, w, now)
	}
	eligible := p.Limits.Eligible(candidates, w, now)
	if len(eligible) == 0 {
		return -1
	}
	mean := 0.0
	for _, i := range eligible {
		mean += candidates[i].Load(w) / float64(len(eligible))
	}
	slices.SortFunc(eligible, func(a, b int) int {
		return cmp.Compare(preference(&candidates[b], w.Prefix), preference(&candidates[a], w.Prefix))
	})
	for _, i := range eligible {
		if candidates[i].Load(w) <= mean+p.Slack {
			return i
		}
	}
	return leastLoaded(candidates, eligible, w, p.Rand)
}

// preference is the rendezvous score of an upstream for a prefix.
func preference(c *Candidate, prefix uint64) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(prefix, 16) + c.Report.Upstream)
}

// LeastLoad is a Policy that takes the least loaded candidate.
type LeastLoad struct {
	// Limits bound the use of candidates.
	Limits
	// Rand chooses among equals.
	Rand *rand.Rand
}

// Choose implements Policy.
func (p *LeastLoad) Choose(candidates []Candidate, w Request, now time.Time) int {
	eligible := p.Limits.Eligible(candidates, w, now)
	if len(eligible) == 0 {
		return -1
	}
	return leastLoaded(candidates, eligible, w, p.Rand)
}

var (
	_ Policy = (*PrefixAffinity)(nil)
	_ Policy = (*LeastLoad)(nil)
)
