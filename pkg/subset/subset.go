// Package subset chooses which upstreams each entry asks for reports and sends
// work to. It is pure: the same hosts give the same choice at every entry, so
// that entries agree without talking to each other.
//
// The choice is rendezvous hashing with bounded loads: pairs of an entry and an
// upstream are taken in the order of their scores, as long as neither has as
// many as it should. Every upstream is so taken by about the same number of
// entries, an entry takes its upstreams from all failure domains alike, and a
// host that comes or goes moves few of the others' choices.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one upstream that can be chosen.
type Upstream struct {
	Name          string
	FailureDomain string
}

// Choose returns the names of the upstreams that one of the entries takes. size
// is how many each entry takes; 0 means all. Hosts may come in any order.
func Choose(entry string, entries []string, upstreams []Upstream, size int) []string {
	if size <= 0 || size >= len(upstreams) {
		return names(upstreams)
	}
	if !slices.Contains(entries, entry) {
		entries = append(slices.Clone(entries), entry)
	}
	domains := byDomain(upstreams)
	quotas := make([][]int, len(entries))
	for i, name := range entries {
		quotas[i] = split(name, domains, size)
	}
	var chosen []string
	for d := range domains {
		chosen = append(chosen, domains[d].assign(entries, quotas, d)[slices.Index(entries, entry)]...)
	}
	return chosen
}

// domain is the upstreams of one failure domain.
type domain struct {
	name      string
	upstreams []string
}

func byDomain(upstreams []Upstream) []domain {
	var domains []domain
	for _, u := range upstreams {
		i := slices.IndexFunc(domains, func(d domain) bool { return d.name == u.FailureDomain })
		if i < 0 {
			i = len(domains)
			domains = append(domains, domain{name: u.FailureDomain})
		}
		domains[i].upstreams = append(domains[i].upstreams, u.Name)
	}
	slices.SortFunc(domains, func(a, b domain) int { return cmp.Compare(a.name, b.name) })
	return domains
}

// split returns how many upstreams an entry takes from each failure domain: one
// from each in turn. The turn begins at a domain of the entry's own, so that a
// size that doesn't divide evenly favours no domain.
func split(entry string, domains []domain, size int) []int {
	quota := make([]int, len(domains))
	first := int(xxhash.Sum64String(entry) % uint64(len(domains)))
	for taken, turn := 0, first; taken < size; turn++ {
		d := turn % len(domains)
		if quota[d] < len(domains[d].upstreams) {
			quota[d]++
			taken++
		}
	}
	return quota
}

// pair is an entry and an upstream, by their indices, with their score.
type pair struct {
	entry, upstream int
	score           uint64
}

// assign returns the names that each entry takes from the failure domain, whose
// index in the quotas is d.
func (m *domain) assign(entries []string, quotas [][]int, d int) [][]string {
	left := make([]int, len(entries))
	total := 0
	for i := range entries {
		left[i] = quotas[i][d]
		total += left[i]
	}
	bound := (total + len(m.upstreams) - 1) / len(m.upstreams)
	load := make([]int, len(m.upstreams))
	taken := make([][]string, len(entries))
	var passedOver []pair
	for _, p := range m.pairs(entries) {
		switch {
		case left[p.entry] == 0:
		case load[p.upstream] == bound:
			passedOver = append(passedOver, p)
		default:
			m.take(p, left, load, taken)
		}
	}
	// An entry that is still short finds all others full, and goes beyond the
	// bound.
	for _, p := range passedOver {
		if left[p.entry] > 0 {
			m.take(p, left, load, taken)
		}
	}
	return taken
}

func (m *domain) take(p pair, left, load []int, taken [][]string) {
	left[p.entry]--
	load[p.upstream]++
	taken[p.entry] = append(taken[p.entry], m.upstreams[p.upstream])
}

// separator keeps the pairs ("a", "bc") and ("ab", "c") apart.
const separator = "\x00"

// pairs returns all pairs by falling score.
func (m *domain) pairs(entries []string) []pair {
	all := make([]pair, 0, len(entries)*len(m.upstreams))
	for e, entry := range entries {
		for u, upstream := range m.upstreams {
			all = append(all, pair{e, u, xxhash.Sum64String(entry + separator + upstream)})
		}
	}
	slices.SortFunc(all, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score),
			cmp.Compare(entries[a.entry], entries[b.entry]),
			cmp.Compare(m.upstreams[a.upstream], m.upstreams[b.upstream]))
	})
	return all
}

func names(upstreams []Upstream) []string {
	out := make([]string, len(upstreams))
	for i, u := range upstreams {
		out[i] = u.Name
	}
	return out
}
