// Package subset chooses the upstreams from which each entry requests reports and to
// which it sends requests. It is deterministic: every entry computes the same choice from
// the same hosts, so that no coordination between entries is needed.
//
// The choice is made by rendezvous hashing with bounded loads: pairs of an entry and
// an upstream are assigned in the order of their scores, as long as neither has
// reached its limit. Each upstream is therefore assigned to about the same number of
// entries, each entry gets upstreams evenly from all failure domains, and a host that
// is added or removed changes few of the other assignments.
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

// Choose returns the names of the upstreams that are assigned to an entry. size is the
// number of upstreams for each entry; 0 means all. The order of entries and upstreams
// has no influence on the choice.
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
		quotas[i] = domainQuotas(name, domains, size)
	}
	var chosen []string
	for d := range domains {
		chosen = append(chosen, domains[d].assign(entries, quotas, d)[slices.Index(entries, entry)]...)
	}
	return chosen
}

// domain holds the names of the upstreams in one failure domain.
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

// domainQuotas returns the number of upstreams that an entry gets from each failure
// domain, counted round-robin. The first domain depends on the entry's name, so that a
// size that doesn't divide evenly favours no domain.
func domainQuotas(entry string, domains []domain, size int) []int {
	quota := make([]int, len(domains))
	first := int(xxhash.Sum64String(entry) % uint64(len(domains)))
	for assigned, turn := 0, first; assigned < size; turn++ {
		d := turn % len(domains)
		if quota[d] < len(domains[d].upstreams) {
			quota[d]++
			assigned++
		}
	}
	return quota
}

// pair is an entry and an upstream, by their indices, with their score.
type pair struct {
	entry, upstream int
	score           uint64
}

// assign returns the upstreams of the failure domain that are assigned to each entry.
// index is the domain's index in the quotas.
func (d *domain) assign(entries []string, quotas [][]int, index int) [][]string {
	remaining := make([]int, len(entries))
	total := 0
	for i := range entries {
		remaining[i] = quotas[i][index]
		total += remaining[i]
	}
	limit := (total + len(d.upstreams) - 1) / len(d.upstreams)
	load := make([]int, len(d.upstreams))
	assigned := make([][]string, len(entries))
	var skipped []pair
	for _, p := range d.pairs(entries) {
		switch {
		case remaining[p.entry] == 0:
		case load[p.upstream] == limit:
			skipped = append(skipped, p)
		default:
			d.assignPair(p, remaining, load, assigned)
		}
	}
	// For an entry that has not reached its quota, all upstreams that it does not
	// have yet are at the limit, so the limit is exceeded.
	for _, p := range skipped {
		if remaining[p.entry] > 0 {
			d.assignPair(p, remaining, load, assigned)
		}
	}
	return assigned
}

func (d *domain) assignPair(p pair, remaining, load []int, assigned [][]string) {
	remaining[p.entry]--
	load[p.upstream]++
	assigned[p.entry] = append(assigned[p.entry], d.upstreams[p.upstream])
}

// separator keeps the pairs ("a", "bc") and ("ab", "c") apart.
const separator = "\x00"

// pairs returns all pairs of entries and upstreams by descending score.
func (d *domain) pairs(entries []string) []pair {
	all := make([]pair, 0, len(entries)*len(d.upstreams))
	for e, entry := range entries {
		for u, upstream := range d.upstreams {
			all = append(all, pair{e, u, xxhash.Sum64String(entry + separator + upstream)})
		}
	}
	slices.SortFunc(all, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score),
			cmp.Compare(entries[a.entry], entries[b.entry]),
			cmp.Compare(d.upstreams[a.upstream], d.upstreams[b.upstream]))
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
