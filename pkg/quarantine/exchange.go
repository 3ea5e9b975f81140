package quarantine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Merge adds a report of another entry, and what this entry knows about it.
func (q *Quarantine) Merge(report *Report, now time.Time) error {
	if report.Upstream == "" || report.Service == "" || report.AgeMillis < 0 {
		return errors.New("the report names no upstream or service, or has a negative age; check that all entries have the same release")
	}
	if report.AgeMillis > recordLifetime.Milliseconds() {
		return nil
	}
	q.merge(report, now)
	return nil
}

// merge adds a report and what this entry knows about its parts. It returns the merged
// report and whether it has changed.
func (q *Quarantine) merge(report *Report, now time.Time) (*record, bool) {
	key := UpstreamKey{ID: report.Upstream, Incarnation: report.Incarnation}
	r, ok := q.records[key]
	if !ok {
		r = &record{Report: *report, noticedAt: now.Add(-time.Duration(report.AgeMillis) * time.Millisecond), learnedAt: now}
		r.Candidates, r.Observations = nil, nil
		q.records[key] = r
		q.repeatRefutations(report, now)
	}
	r.Epoch = max(r.Epoch, report.Epoch)
	previous := r.Candidates
	changed := r.merge(report, now) || !ok
	if q.addKnowledge(r, now) {
		changed = true
		q.scheduleAfter(r, now, q.randomDelay(maxReplyDelay))
	}
	if changed {
		q.reindex(r, previous)
		q.changed(r)
	}
	q.evict(now)
	return r, changed
}

// repeatRefutations makes earlier reports due in which parts of a new report are refuted.
// An entry that does not know that yet may blame such a part for a second time.
func (q *Quarantine) repeatRefutations(report *Report, now time.Time) {
	for part := range report.Candidates {
		for _, r := range q.index[partKey{report.Service, part}] {
			if c := r.Candidates[part]; c.isRefuted() {
				q.scheduleAfter(r, now, q.randomDelay(maxReplyDelay))
			}
		}
	}
}

// addKnowledge adds to a report for which of its parts responses have begun well at this
// entry. It returns whether the other entries should know at once.
func (q *Quarantine) addKnowledge(r *record, now time.Time) bool {
	urgent := false
	for part, c := range r.Candidates {
		known := q.begun.find(partKey{r.Service, part}, now)
		if known == nil {
			continue
		}
		add := Candidate{}
		for _, o := range known.organisations {
			if o.lastAt.After(r.noticedAt) {
				add.Since = union(add.Since, []string{o.name})
			} else {
				add.Before = union(add.Before, []string{o.name})
			}
		}
		merged := c.merge(add)
		urgent = urgent || c.isUnproven() || !c.isRefuted() && merged.isRefuted()
		r.Candidates[part] = merged
	}
	for entry, o := range r.Observations {
		if entry == q.entry {
			continue
		}
		var known []string
		for _, part := range o.NewParts {
			if b := q.begun.find(partKey{r.Service, part}, now); b != nil && b.firstAt.Before(r.noticedAt.Add(-knownBefore)) {
				known = append(known, part)
			}
		}
		if merged := o.merge(Observation{KnownParts: known}); !merged.equal(o) {
			r.Observations[entry] = merged
			urgent = true
		}
	}
	return urgent
}

func (q *Quarantine) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(q.rand.Int64N(int64(limit)))
}

// schedule makes a report due now.
func (q *Quarantine) schedule(r *record, now time.Time) { q.due[r.key()] = now }

// scheduleAfter makes a report due after a delay unless it is due earlier.
func (q *Quarantine) scheduleAfter(r *record, now time.Time, delay time.Duration) {
	if at, ok := q.due[r.key()]; !ok || now.Add(delay).Before(at) {
		q.due[r.key()] = now.Add(delay)
	}
}

// RecordReceived records that another entry sent these reports, so that those of which this
// entry knows no more need not be sent.
func (q *Quarantine) RecordReceived(reports []Report) {
	for i := range reports {
		key := UpstreamKey{ID: reports[i].Upstream, Incarnation: reports[i].Incarnation}
		if r, ok := q.records[key]; ok && r.holdsNoMoreThan(&reports[i]) {
			delete(q.due, key)
		}
	}
}

// holdsNoMoreThan reports whether another report contains everything of this one.
func (r *record) holdsNoMoreThan(other *Report) bool {
	merged := record{Report: *other}
	return !merged.merge(&r.Report, time.Time{})
}

// Due returns the reports that are to be sent to the other entries now.
func (q *Quarantine) Due(now time.Time) []Report {
	var out []Report
	for key, at := range q.due {
		if at.After(now) {
			continue
		}
		delete(q.due, key)
		if r, ok := q.records[key]; ok {
			out = append(out, r.export(now))
		}
	}
	sortReports(out)
	return out
}

// NextDue returns when the next report is due, and whether any is.
func (q *Quarantine) NextDue() (time.Time, bool) {
	var next time.Time
	for _, at := range q.due {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, len(q.due) > 0
}

// Reports returns all reports.
func (q *Quarantine) Reports(now time.Time) []Report {
	out := make([]Report, 0, len(q.records))
	for _, r := range q.records {
		out = append(out, r.export(now))
	}
	sortReports(out)
	return out
}

// HasMore reports whether this entry knows more of the parts that may be the cause of a loss
// than a report of it holds.
func (q *Quarantine) HasMore(report *Report) bool {
	r, ok := q.records[UpstreamKey{ID: report.Upstream, Incarnation: report.Incarnation}]
	return ok && !maps.EqualFunc(unprovenCandidates(r.Candidates), unprovenCandidates(report.Candidates), Candidate.equal)
}

// unprovenCandidates returns the candidates that are unproven.
func unprovenCandidates(candidates map[string]Candidate) map[string]Candidate {
	out := make(map[string]Candidate)
	for part, c := range candidates {
		if c.isUnproven() {
			out[part] = c
		}
	}
	return out
}

// IsSettled reports whether a report has no more use: all of its shared candidates are
// refuted and none of its requests is gated, or it has expired.
func (q *Quarantine) IsSettled(report *Report, now time.Time) bool {
	r, ok := q.records[UpstreamKey{ID: report.Upstream, Incarnation: report.Incarnation}]
	if !ok {
		return report.AgeMillis > recordLifetime.Milliseconds()
	}
	for part, c := range r.Candidates {
		if !c.isRefuted() && (isShared(part) || q.standing(partKey{r.Service, part}, "", now).State != StateNone) {
			return false
		}
	}
	return true
}

func sortReports(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Digest returns a hash of all reports without their ages. Entries with the same reports
// have the same digest.
func (q *Quarantine) Digest() uint64 {
	if q.digest != 0 && q.digestChanges == q.changes {
		return q.digest
	}
	reports := q.Reports(time.Time{})
	for i := range reports {
		reports[i].AgeMillis = 0
	}
	raw, err := json.Marshal(reports)
	if err != nil {
		// Maps with string keys, strings and numbers can always be encoded.
		panic(err)
	}
	q.digest, q.digestChanges = xxhash.Sum64(raw), q.changes
	return q.digest
}
