package selection

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Blocks of a prompt that are hashed as its prefix. A hit of that prefix in an engine's
// KV cache is worth selecting an upstream that is not the least loaded.
const (
	// prefixBlockBytes is the size of a block in bytes.
	prefixBlockBytes = 256
	// maxPrefixBlocks is the maximum number of leading blocks that are hashed.
	maxPrefixBlocks = 4
)

// PrefixOf returns the hash of a prompt's leading whole blocks, or 0 if it has none.
func PrefixOf(prompt []byte) uint64 {
	n := min(maxPrefixBlocks, len(prompt)/prefixBlockBytes) * prefixBlockBytes
	if n == 0 {
		return 0
	}
	return max(1, xxhash.Sum64(prompt[:n]))
}

// PrefixAffinity is a Policy that sends prompts with the same leading blocks to the
// same few upstreams, as long as their load is near the mean. For each prefix it orders
// the upstreams by rendezvous hashing, and selects the first one whose load is at most
// Slack above the mean. It does not depend on the engines' KV cache events, so wrong
// events can't mislead it. For prompts without a prefix and for priority work it selects
// as TwoChoices does.
type PrefixAffinity struct {
	// Limits limit the use of candidates.
	Limits
	// Rand is the source of random choices.
	Rand *rand.Rand
	// Slack is how far the load of a preferred upstream may be above the mean load, as
	// a fraction of its limit.
	Slack float64
}

// Choose implements Policy.
func (p *PrefixAffinity) Choose(candidates []Candidate, r Request, now time.Time) int {
	if r.Prefix == 0 || r.Priority {
		plain := TwoChoices{Limits: p.Limits, Rand: p.Rand}
		return plain.Choose(candidates, r, now)
	}
	eligible := p.Limits.Eligible(candidates, r, now)
	if len(eligible) == 0 {
		return -1
	}
	mean := 0.0
	for _, i := range eligible {
		mean += candidates[i].Load(r) / float64(len(eligible))
	}
	slices.SortFunc(eligible, func(a, b int) int {
		return cmp.Compare(rendezvousScore(&candidates[b], r.Prefix), rendezvousScore(&candidates[a], r.Prefix))
	})
	for _, i := range eligible {
		if candidates[i].Load(r) <= mean+p.Slack {
			return i
		}
	}
	return leastLoaded(candidates, eligible, r, p.Rand)
}

// rendezvousScore returns the rendezvous hashing score of an upstream for a prefix.
func rendezvousScore(c *Candidate, prefix uint64) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(prefix, 16) + c.Report.Upstream)
}

// LeastLoad is a Policy that selects the least loaded candidate.
type LeastLoad struct {
	// Limits limit the use of candidates.
	Limits
	// Rand is the source of random choices between equally loaded candidates.
	Rand *rand.Rand
}

// Choose implements Policy.
func (p *LeastLoad) Choose(candidates []Candidate, r Request, now time.Time) int {
	eligible := p.Limits.Eligible(candidates, r, now)
	if len(eligible) == 0 {
		return -1
	}
	return leastLoaded(candidates, eligible, r, p.Rand)
}

var (
	_ Policy = (*PrefixAffinity)(nil)
	_ Policy = (*LeastLoad)(nil)
)
