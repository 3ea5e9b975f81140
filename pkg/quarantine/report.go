package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits on the size of a report.
const (
	// maxCandidates is the number of parts in a report.
	maxCandidates = 48
	// maxNamed is the number of organisations that are named for one purpose.
	maxNamed = 8
	// maxObservations is the number of entries whose observations a report keeps.
	maxObservations = 8
)

// Report is what the entries know about one upstream that ended without notice. Merging
// two reports only adds to what is known, in any order, so a report that arrives late
// changes nothing that is already refuted.
type Report struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	Group       string `json:"group,omitempty"`
	Epoch       uint64 `json:"epoch,omitempty"`
	// AgeMillis is the time in milliseconds since the upstream ended. It is relative, as
	// the clocks of hosts differ and jump.
	AgeMillis int64 `json:"age_ms"`
	// Candidates are the shared parts of the prompts that had not begun at the upstream,
	// by their IDs.
	Candidates map[string]Candidate `json:"candidates,omitempty"`
	// Observations are those of the entries that had attempts at the upstream, by entry.
	Observations map[string]Observation `json:"observations,omitempty"`
}

// Candidate is a part of a prompt that may have ended an upstream.
type Candidate struct {
	// Organisations had requests with the part at the upstream when it ended.
	Organisations []string `json:"organisations"`
	// Coincidence is the smallest probability that one of these requests had by chance
	// waited for so long when the upstream ended. It is 0 if it is not known.
	Coincidence float64 `json:"coincidence,omitempty"`
	// Trial is true if one of them was a trial of the part.
	Trial bool `json:"trial,omitempty"`
	// Before are organisations for which responses with the part had begun well before.
	Before []string `json:"before,omitempty"`
	// Since are organisations for which responses with the part have begun well since.
	Since []string `json:"since,omitempty"`
}

// Observation is what one entry observed about an upstream that ended. The latest requests
// that the entry had sent to any upstream show how likely it is that an upstream which
// ends for another reason has a request that looks suspicious.
type Observation struct {
	// Unbegun is the number of the entry's attempts there that had not begun.
	Unbegun int `json:"unbegun"`
	// Sampled is the number of the entry's latest other requests, NewParts are the parts
	// among them that had never begun at the entry when they were sent.
	Sampled  int      `json:"sampled"`
	NewParts []string `json:"new_parts,omitempty"`
	// KnownParts are those of NewParts that had begun at another entry.
	KnownParts []string `json:"known_parts,omitempty"`
}

// isRefuted reports whether responses with the part have begun well since.
func (c *Candidate) isRefuted() bool { return len(c.Since) > 0 }

// isUnproven reports whether no response with the part is known to have begun well.
func (c *Candidate) isUnproven() bool { return len(c.Before) == 0 && len(c.Since) == 0 }

// union returns the sorted union of two sorted lists.
func union(a, b []string) []string {
	if len(b) == 0 {
		return a
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// limitNames shortens a sorted list to maxNamed names besides those that are always kept.
func limitNames(names, always []string) []string {
	others := 0
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		if slices.Contains(always, name) {
			return false
		}
		others++
		return others > maxNamed
	})
}

// merge adds what another report knows about the same candidate.
func (c Candidate) merge(other Candidate) Candidate {
	organisations := limitNames(union(c.Organisations, other.Organisations), nil)
	return Candidate{
		Organisations: organisations,
		Coincidence:   minKnown(c.Coincidence, other.Coincidence),
		Trial:         c.Trial || other.Trial,
		Before:        limitNames(union(c.Before, other.Before), organisations),
		Since:         limitNames(union(c.Since, other.Since), organisations),
	}
}

// minKnown returns the smaller one of two numbers that are not 0.
func minKnown(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (o Observation) merge(other Observation) Observation {
	merged := Observation{
		Unbegun: max(o.Unbegun, other.Unbegun), Sampled: max(o.Sampled, other.Sampled),
		NewParts: union(o.NewParts, other.NewParts), KnownParts: union(o.KnownParts, other.KnownParts),
	}
	merged.NewParts = merged.NewParts[:min(len(merged.NewParts), sampleSize)]
	merged.KnownParts = merged.KnownParts[:min(len(merged.KnownParts), sampleSize)]
	return merged
}

// equal reports whether two candidates hold the same.
func (c Candidate) equal(other Candidate) bool {
	return slices.Equal(c.Organisations, other.Organisations) && c.Coincidence == other.Coincidence && c.Trial == other.Trial && slices.Equal(c.Before, other.Before) && slices.Equal(c.Since, other.Since)
}

func (o Observation) equal(other Observation) bool {
	return o.Unbegun == other.Unbegun && o.Sampled == other.Sampled && slices.Equal(o.NewParts, other.NewParts) && slices.Equal(o.KnownParts, other.KnownParts)
}

// record is a report at this entry.
type record struct {
	Report
	// noticedAt is when the upstream ended, on this entry's clock.
	noticedAt time.Time
	// learnedAt is when this entry first knew of it.
	learnedAt time.Time
}

func (r *record) key() UpstreamKey {
	return UpstreamKey{ID: r.Upstream, Incarnation: r.Incarnation}
}

// export returns a copy of the report with its current age. Later changes of the record
// don't affect it.
func (r *record) export(now time.Time) Report {
	report := r.Report
	report.Candidates, report.Observations = maps.Clone(r.Candidates), maps.Clone(r.Observations)
	report.AgeMillis = max(0, now.Sub(r.noticedAt).Milliseconds())
	return report
}

// merge adds what a report knows. It returns whether anything but the age has changed.
func (r *record) merge(other *Report, now time.Time) bool {
	if at := now.Add(-time.Duration(other.AgeMillis) * time.Millisecond); at.Before(r.noticedAt) {
		r.noticedAt = at
	}
	candidates := mergeMaps(r.Candidates, other.Candidates, Candidate.merge)
	observations := mergeMaps(r.Observations, other.Observations, Observation.merge)
	limitKeys(candidates, maxCandidates, func(c Candidate) bool { return c.isUnproven() })
	limitKeys(observations, maxObservations, func(Observation) bool { return false })
	changed := !maps.EqualFunc(r.Candidates, candidates, Candidate.equal) || !maps.EqualFunc(r.Observations, observations, Observation.equal)
	r.Candidates, r.Observations = candidates, observations
	return changed
}

// mergeMaps merges two maps into a new one.
func mergeMaps[V any](a, b map[string]V, merge func(a, b V) V) map[string]V {
	out := make(map[string]V, len(a)+len(b))
	maps.Copy(out, a)
	for key, value := range b {
		// A value that is new is merged as well, so that its lists are limited.
		out[key] = merge(out[key], value)
	}
	return out
}

// limitKeys removes entries from a map with more than limit ones. It keeps the preferred
// ones first, and then those with the lowest keys, so that the result doesn't depend on the
// order in which maps were merged.
func limitKeys[V any](m map[string]V, limit int, preferred func(V) bool) {
	if len(m) <= limit {
		return
	}
	keys := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		if first := preferred(m[a]); first != preferred(m[b]) {
			if first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	for _, key := range keys[limit:] {
		delete(m, key)
	}
}
