package quarantine

import (
	"slices"
	"time"
)

// Conditions for conclusions from the upstreams that ended.
const (
	// minMoments is how many times upstreams must have ended for which a part is the best
	// explanation, without a response with it that began in between.
	minMoments = 2
	// maxChance is the largest probability that an upstream which ends for another reason
	// has a request with an unproven part, up to which a single time is conclusive.
	maxChance = 0.1
	// momentGap is the time between two ends of upstreams up to which they count as one
	// time: they may have one cause outside of the requests.
	momentGap = time.Second
	// maxPassTime is the time within which the ends of ranks are noticed that were caused in
	// one pass of their group.
	maxPassTime = 300 * time.Millisecond
	// settleTime is the time from the first report of an end to conclusions from it. The
	// other entries report within it what they know about its candidates.
	settleTime = 300 * time.Millisecond
)

// requestSuspicionTime is how long a whole request is suspected after one end. Most requests are
// never sent again, and would stay on the operators' list.
const requestSuspicionTime = 10 * time.Minute

// Times for which a part is kept from upstreams.
const (
	// shortHold applies after a single conclusive time, to parts that have begun well
	// before, and to organisations that had no request with the part when upstreams ended.
	shortHold = time.Minute
	// longHold applies otherwise.
	longHold = 30 * time.Minute
	// holdFactor multiplies the time with each further end of an upstream, up to maxHold.
	holdFactor = 4
	maxHold    = 8 * time.Hour
)

// standing is what the reports say about one part.
type standing struct {
	// losses are the ends of upstreams for which the part is the best explanation, in the
	// order of time.
	losses []*record
	// moments is the number of times at which they happened, explained the number of those
	// at which no other upstream ended.
	moments, explained int
	// organisations had requests with the part at these upstreams.
	organisations []string
	// begunBefore is true if responses with the part had begun well before one of them.
	begunBefore bool
	// chance is the probability of a coincidence if the part is the only explanation for the
	// upstreams that ended at a single time, and 1 otherwise.
	chance float64
	// tied is true if another part explains all of the losses as well.
	tied bool
}

// evaluate returns the standings of the parts in the reports of one service. Refuted parts
// and those for which another part is a better explanation have none.
func evaluate(records []*record) map[string]*standing {
	unproven, total := countCandidates(records)
	standings := make(map[string]*standing)
	for _, r := range records {
		for part, c := range r.Candidates {
			if c.isRefuted() || r.isExplainedByOther(part, unproven, total[part]) {
				continue
			}
			s := standings[part]
			if s == nil {
				s = &standing{}
				standings[part] = s
			}
			s.losses = append(s.losses, r)
			s.organisations = union(s.organisations, c.Organisations)
			s.begunBefore = s.begunBefore || !c.isUnproven()
		}
	}
	for part, s := range standings {
		sortByTime(s.losses)
		s.moments = countMoments(part, s.losses)
		s.explained = countExplained(part, s.losses, records)
		s.tied = hasRival(part, s.losses)
		s.chance = 1
		if s.moments == 1 && !s.begunBefore && !s.tied && !IsWholeRequest(part) {
			s.chance = coincidence(part, s.losses, records)
		}
	}
	return standings
}

// countCandidates returns the number of reports in which each part is unproven, and in which it is
// a candidate.
func countCandidates(records []*record) (unproven, total map[string]int) {
	unproven, total = make(map[string]int), make(map[string]int)
	for _, r := range records {
		for part, c := range r.Candidates {
			total[part]++
			if c.isUnproven() {
				unproven[part]++
			}
		}
	}
	return unproven, total
}

// isExplainedByOther reports whether another part is a better explanation for the end of an
// upstream: an unproven one if this one has begun before, or one that explains more ends.
func (r *record) isExplainedByOther(part string, unproven map[string]int, total int) bool {
	own := r.Candidates[part]
	for other, c := range r.Candidates {
		if other == part || !c.isUnproven() || !mayExplain(other, unproven, total) {
			continue
		}
		if !own.isUnproven() || unproven[other] >= minMoments && unproven[other] > unproven[part] {
			return true
		}
	}
	return false
}

// mayExplain reports whether an unproven part can explain ends of upstreams better than one that is
// a candidate in total reports. A request that names parts can only if it explains all of them, and
// more than one.
func mayExplain(part string, unproven map[string]int, total int) bool {
	return !isRepeatedRequest(part) || unproven[part] >= max(minMoments, total)
}

func sortByTime(records []*record) {
	slices.SortFunc(records, func(a, b *record) int { return a.noticedAt.Compare(b.noticedAt) })
}

// sameMoment reports whether two upstreams ended at one time. The ranks of a group run all
// passes together, so none of them begins anything after the first one has ended.
func sameMoment(a, b *record) bool {
	if a.Group != "" && a.Group == b.Group {
		return a.Epoch == b.Epoch
	}
	return a.noticedAt.Sub(b.noticedAt).Abs() <= momentGap
}

// countMoments returns the number of times at which upstreams ended with a part, in the order of
// time. The end of one during a trial of the part counts, however soon it follows another: the
// trial was sent because of the other end, alone.
func countMoments(part string, losses []*record) int {
	n := 0
	for i, r := range losses {
		if i == 0 || r.Candidates[part].Trial || !sameMoment(losses[i-1], r) {
			n++
		}
	}
	return n
}

// countExplained returns the number of times at which no upstream ended besides the losses.
func countExplained(part string, losses, records []*record) int {
	var alone []*record
	for _, r := range losses {
		if !slices.ContainsFunc(records, func(other *record) bool { return sameMoment(r, other) && !slices.Contains(losses, other) }) {
			alone = append(alone, r)
		}
	}
	return countMoments(part, alone)
}

// isQuarantined reports whether the losses show that the part is the cause. For a part that
// had begun well before, those at which other upstreams ended as well count half.
func (s *standing) isQuarantined() bool {
	if s.begunBefore {
		return s.moments+s.explained >= 2*minMoments
	}
	return s.moments >= minMoments
}

// coincidence estimates the probability that upstreams which ended at one time for another
// reason all had requests with a part by chance. It is 1 if an upstream ended at that time
// without such a request.
func coincidence(part string, losses, records []*record) float64 {
	chance := 1.0
	for _, r := range records {
		if !sameMoment(losses[0], r) {
			continue
		}
		if !slices.Contains(losses, r) {
			return 1
		}
		chance *= r.chance(part)
	}
	return chance
}

// hasRival reports whether another unproven part is in the reports of all losses.
func hasRival(part string, losses []*record) bool {
	for other, c := range losses[0].Candidates {
		if other == part || !c.isUnproven() || isRepeatedRequest(other) {
			continue
		}
		if !slices.ContainsFunc(losses[1:], func(r *record) bool {
			c, ok := r.Candidates[other]
			return !ok || !c.isUnproven()
		}) {
			return true
		}
	}
	return false
}

// chance estimates the probability that the upstream, had it ended for another reason, had
// a request with an unproven part that had waited as long as the one with a given part. It
// is based on the latest other requests of the entries that reported.
func (r *record) chance(part string) float64 {
	sampled, unknown, unbegun := 0, 0, 0
	for _, o := range r.Observations {
		sampled += o.Sampled
		unbegun += o.Unbegun
		for _, part := range o.NewParts {
			if !slices.Contains(o.KnownParts, part) {
				unknown++
			}
		}
	}
	// The additions keep the estimate above 0 for a small sample without unknown parts.
	share := min(1, (float64(unknown)+0.5)/(float64(sampled)+1))
	if coincidence := r.Candidates[part].Coincidence; coincidence > 0 {
		share *= coincidence
	}
	none := 1.0
	for range max(1, unbegun) {
		none *= 1 - share
	}
	return 1 - none
}

// organisationMoments returns the times at which upstreams ended with requests of an
// organisation that had a part which has only begun well for others. Such a part can't
// be the cause by itself, but what the organisation sends under its name can.
func organisationMoments(part, organisation string, records []*record) (losses []*record, moments int) {
	unproven, total := countCandidates(records)
	for _, r := range records {
		c, ok := r.Candidates[part]
		if !ok || c.isUnproven() || !slices.Contains(c.Organisations, organisation) ||
			slices.Contains(c.Before, organisation) || slices.Contains(c.Since, organisation) || r.hasOtherUnproven(part, unproven, total[part]) {
			continue
		}
		losses = append(losses, r)
	}
	sortByTime(losses)
	return losses, countMoments(part, losses)
}

// hasOtherUnproven reports whether a report has another unproven candidate that may explain ends of
// upstreams better than a part.
func (r *record) hasOtherUnproven(part string, unproven map[string]int, total int) bool {
	for other, c := range r.Candidates {
		if other != part && c.isUnproven() && mayExplain(other, unproven, total) {
			return true
		}
	}
	return false
}

// growingHold returns how long a part is kept from upstreams after the latest of the losses,
// which happened at a number of times. base applies to minMoments.
func growingHold(base time.Duration, moments int) time.Duration {
	hold := base
	for i := minMoments; i < moments && hold < maxHold; i++ {
		hold *= holdFactor
	}
	return min(hold, maxHold)
}
