package quarantine

import (
	"cmp"
	"time"
)

// usefulness is what a report is needed for.
type usefulness struct {
	key UpstreamKey
	// inUse is false if all candidates are refuted.
	inUse bool
	// organisationReports is the number of reports about the organisation that the report is
	// mainly about.
	organisationReports int
	// current is true if a part is quarantined because of the report, or if it is so new that
	// another report may still join it.
	current   bool
	noticedAt time.Time
}

// compare orders reports by their usefulness, the least useful one first. An organisation with many
// reports loses its own ones, so that what is known and found out about others stays.
func (u *usefulness) compare(other *usefulness) int {
	return cmp.Or(
		compareBool(u.inUse, other.inUse),
		cmp.Compare(other.organisationReports, u.organisationReports),
		compareBool(u.current, other.current),
		u.noticedAt.Compare(other.noticedAt),
		cmp.Compare(u.key.ID, other.key.ID),
		cmp.Compare(u.key.Incarnation, other.key.Incarnation),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// evict drops the least useful report if there are too many.
func (q *Quarantine) evict(now time.Time) {
	if len(q.records) <= maxRecords {
		return
	}
	supporting := q.supporting(now)
	organisations := make(map[UpstreamKey][]string, len(q.records))
	reports := make(map[string]int)
	for key, r := range q.records {
		organisations[key] = r.unrefutedOrganisations()
		if of := supporting[key]; len(of) > 0 {
			organisations[key] = of
		}
		for _, organisation := range organisations[key] {
			reports[organisation]++
		}
	}
	var victim *usefulness
	for key, r := range q.records {
		u := &usefulness{key: key, inUse: len(organisations[key]) > 0, noticedAt: r.noticedAt}
		isSupporting := len(supporting[key]) > 0
		u.current = isSupporting || r.hasUnproven() && now.Sub(r.noticedAt) <= requestSuspicionTime
		for i, organisation := range organisations[key] {
			n := reports[organisation]
			// A report that supports the quarantine of several organisations' parts stays for
			// each of them. Any other one may be only of the organisation with many reports.
			if i == 0 || isSupporting == (n < u.organisationReports) {
				u.organisationReports = n
			}
		}
		if victim == nil || u.compare(victim) < 0 {
			victim = u
		}
	}
	q.drop(victim.key)
}

// unrefutedOrganisations returns the organisations of the candidates that are not refuted.
func (r *record) unrefutedOrganisations() []string {
	var out []string
	for _, c := range r.Candidates {
		if !c.isRefuted() {
			out = union(out, c.Organisations)
		}
	}
	return out
}

// hasUnproven reports whether any candidate is unproven.
func (r *record) hasUnproven() bool { return len(unprovenCandidates(r.Candidates)) > 0 }

// Sweep drops reports that have expired.
func (q *Quarantine) Sweep(now time.Time) {
	for key, r := range q.records {
		if now.Sub(r.noticedAt) > recordLifetime {
			q.drop(key)
		}
	}
}

func (q *Quarantine) drop(key UpstreamKey) {
	r := q.records[key]
	delete(q.records, key)
	delete(q.due, key)
	for part := range r.Candidates {
		q.unindex(partKey{r.Service, part}, r)
	}
	q.changed(r)
}
