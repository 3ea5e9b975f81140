package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits on what is kept and sent.
const (
	// maxRecords is the number of reports that are kept.
	maxRecords = 128
	// recordLifetime is how long a report is kept.
	recordLifetime = 24 * time.Hour
	// sampleSize is the number of latest requests that are sampled for each service.
	sampleSize = 32
	// maxReplyDelay is the longest random delay before an entry sends what it knows about
	// the report of another one. If another entry sends the same first, it sends nothing.
	maxReplyDelay = 30 * time.Millisecond
	// unexplainedDelay is the shortest delay before an entry reports the end of an upstream
	// for which it has no candidates. Usually another entry has some and reports first.
	unexplainedDelay = 100 * time.Millisecond
	// knownBefore is how long before the end of an upstream a part must have begun to count
	// as known to the requests that were sampled then.
	knownBefore = time.Second
)

// Quarantine holds what one entry knows. It is not safe for concurrent use.
type Quarantine struct {
	entry string
	rand  *rand.Rand
	begun *begunParts
	// samples are the latest requests by service.
	samples map[string]*sample
	records map[UpstreamKey]*record
	// index has the reports in which a part is a candidate.
	index map[partKey][]*record
	// standings are the evaluated standings by service. A service without them has to be
	// evaluated again.
	standings map[string]map[string]*standing
	// due are the times at which reports are to be sent to the other entries.
	due map[UpstreamKey]time.Time
	// changes counts the changes of reports.
	changes uint64
	// digest is the digest at digestChanges changes.
	digest        uint64
	digestChanges uint64
	// isolated is true while most of the other entries can't be reached.
	isolated bool
}

// New returns the quarantine of an entry. The seed is for the random delays.
func New(entry string, seed uint64) *Quarantine {
	return &Quarantine{
		entry: entry, rand: rand.New(rand.NewPCG(seed, 0)), begun: newBegunParts(), samples: make(map[string]*sample),
		records: make(map[UpstreamKey]*record), index: make(map[partKey][]*record),
		standings: make(map[string]map[string]*standing), due: make(map[UpstreamKey]time.Time),
	}
}

// Changes returns the number of changes of the reports so far.
func (q *Quarantine) Changes() uint64 { return q.changes }

// SetIsolated records whether most of the other entries can't be reached. One loss is never
// conclusive then, as they may know better.
func (q *Quarantine) SetIsolated(isolated bool) {
	if q.isolated != isolated {
		q.isolated = isolated
		q.changes++
	}
}

// RecordBegun records that a response to an organisation has begun well. firstPart is the
// time from sending the request to the first part of the response.
func (q *Quarantine) RecordBegun(service, organisation string, parts []string, firstPart time.Duration, now time.Time) {
	if s := q.samples[service]; s != nil && hasShared(parts) {
		s.firstParts.add(firstPart)
	}
	for _, part := range parts {
		key := partKey{service, part}
		if !IsWholeRequest(part) {
			// Most requests come only once, so there would be no bound but their number.
			q.begun.record(key, organisation, now)
		}
		if len(q.index[key]) > 0 {
			q.refute(key, organisation, now)
		}
	}
}

// refute records in all reports that a response with a part has begun well since. The
// other entries are told at once if the part was gated.
func (q *Quarantine) refute(key partKey, organisation string, now time.Time) {
	gated := q.standing(key, organisation, now).State != StateNone
	for _, r := range q.index[key] {
		c, ok := r.Candidates[key.part]
		if !ok || slices.Contains(c.Since, organisation) {
			continue
		}
		merged := c.merge(Candidate{Since: []string{organisation}})
		if merged.equal(c) {
			continue
		}
		r.Candidates[key.part] = merged
		q.changed(r)
		if gated {
			q.schedule(r, now)
		}
	}
}

// Release records that operators consider a part sound. It returns false if no report has
// it.
func (q *Quarantine) Release(service, part string, now time.Time) bool {
	key := partKey{service, part}
	for _, r := range q.index[key] {
		c := r.Candidates[part]
		r.Candidates[part] = c.merge(Candidate{Since: union([]string{releasedBy}, c.Organisations)})
		q.changed(r)
		q.schedule(r, now)
	}
	return len(q.index[key]) > 0
}

// releasedBy stands for the operators among the organisations for which a part has begun
// well.
const releasedBy = "(operators)"

// RecordLoss records the end of an upstream. The other entries are told at once if requests
// with shared parts had not begun there.
func (q *Quarantine) RecordLoss(loss *Loss, now time.Time) {
	u := &loss.Upstream
	if !loss.Evidence.isCrash() || q.isAfterStall(u, loss.NoticedAt) {
		return
	}
	report := Report{
		Upstream: u.ID, Incarnation: u.Incarnation, Service: u.Service, Group: u.Group, Epoch: u.Epoch,
		AgeMillis: max(0, now.Sub(loss.NoticedAt).Milliseconds()), Candidates: make(map[string]Candidate),
		Observations: map[string]Observation{q.entry: q.observe(loss)},
	}
	for _, a := range loss.Unbegun {
		c := Candidate{Organisations: []string{a.Organisation}, Coincidence: q.coincidence(u.Service, loss.NoticedAt.Sub(a.SentAt)), Trial: a.Trial}
		for _, part := range a.Parts {
			report.Candidates[part] = report.Candidates[part].merge(c)
		}
	}
	if len(report.Candidates) == 0 && q.samples[u.Service] == nil {
		// Requests to the service have no shared parts.
		return
	}
	r, _ := q.merge(&report, now)
	if len(report.Candidates) > 0 {
		q.schedule(r, now)
		return
	}
	q.scheduleAfter(r, now, unexplainedDelay+q.randomDelay(unexplainedDelay))
}

// isAfterStall reports whether another rank of the upstream's group had ended in an earlier
// pass. The group has made no pass since, so no request has begun.
func (q *Quarantine) isAfterStall(u *Upstream, at time.Time) bool {
	if u.Group == "" {
		return false
	}
	for _, r := range q.records {
		if r.Service == u.Service && r.Group == u.Group && r.Epoch == u.Epoch && at.Sub(r.noticedAt) > maxPassTime {
			return true
		}
	}
	return false
}

// Supporting returns the reports because of which parts are quarantined.
func (q *Quarantine) Supporting(now time.Time) []Report {
	var out []Report
	for key := range q.supporting(now) {
		out = append(out, q.records[key].export(now))
	}
	sortReports(out)
	return out
}

// supporting returns the organisations of the quarantined parts by the reports because of which
// they are quarantined.
func (q *Quarantine) supporting(now time.Time) map[UpstreamKey][]string {
	out := make(map[UpstreamKey][]string)
	for _, s := range q.gatedStandings(now) {
		if s.State != StateQuarantined {
			continue
		}
		for _, r := range q.index[partKey{s.Service, s.Part}] {
			if slices.Contains(s.Upstreams, r.Upstream) {
				out[r.key()] = union(out[r.key()], s.Organisations)
			}
		}
	}
	return out
}

// Standings returns the parts that are not in StateNone, ordered by service and part.
func (q *Quarantine) Standings(now time.Time) []Standing {
	out := q.gatedStandings(now)
	slices.SortFunc(out, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Organisation, b.Organisation))
	})
	return out
}

// gatedStandings returns the standings for all organisations, and those for single ones.
func (q *Quarantine) gatedStandings(now time.Time) []Standing {
	var out []Standing
	for key, records := range q.index {
		var organisations []string
		for _, r := range records {
			organisations = union(organisations, r.Candidates[key.part].Organisations)
		}
		for _, organisation := range organisations {
			s := q.standing(key, organisation, now)
			if s.State == StateNone {
				continue
			}
			out = append(out, s)
			if s.Organisation == "" {
				break
			}
		}
	}
	return out
}

// changed notes that a report has changed.
func (q *Quarantine) changed(r *record) {
	q.changes++
	delete(q.standings, r.Service)
}

// evaluated returns the standings of a service's parts.
func (q *Quarantine) evaluated(service string) map[string]*standing {
	s, ok := q.standings[service]
	if !ok {
		var records []*record
		for _, r := range q.records {
			if r.Service == service {
				records = append(records, r)
			}
		}
		s = evaluate(records)
		q.standings[service] = s
	}
	return s
}

// reindex adds a report to the index of its parts, and removes it from that of those parts
// among its previous ones which it has no more.
func (q *Quarantine) reindex(r *record, previous map[string]Candidate) {
	for part := range previous {
		if _, ok := r.Candidates[part]; !ok {
			q.unindex(partKey{r.Service, part}, r)
		}
	}
	for part := range r.Candidates {
		key := partKey{r.Service, part}
		if !slices.Contains(q.index[key], r) {
			q.index[key] = append(q.index[key], r)
		}
	}
}

func (q *Quarantine) unindex(key partKey, r *record) {
	q.index[key] = slices.DeleteFunc(q.index[key], func(other *record) bool { return other == r })
	if len(q.index[key]) == 0 {
		delete(q.index, key)
	}
}
