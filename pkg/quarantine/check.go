package quarantine

import (
	"fmt"
	"slices"
	"time"
)

// State is how a part is treated.
type State string

// States of a part.
const (
	// StateNone means that nothing speaks against the part.
	StateNone State = ""
	// StateSuspected means that one request at a time is sent with the part, to find out
	// whether it is the cause.
	StateSuspected State = "suspected"
	// StateQuarantined means that the part is kept from upstreams for some time. After
	// that one request at a time is sent with it.
	StateQuarantined State = "quarantined"
)

// Standing is the state of one part, for all organisations or for one.
type Standing struct {
	Service string `json:"service"`
	Part    string `json:"part"`
	State   State  `json:"state"`
	// Organisation is set if the state applies to one organisation only.
	Organisation string `json:"organisation,omitempty"`
	// Upstreams are those that ended as requests with the part were there, the latest one
	// last.
	Upstreams []string `json:"upstreams"`
	// Organisations had these requests.
	Organisations []string `json:"organisations"`
	// AgeMillis is the time since the latest of these ends, TrialMillis the time until a
	// request is sent with the part again, both in milliseconds.
	AgeMillis   int64 `json:"age_ms"`
	TrialMillis int64 `json:"trial_ms"`
	// Reason says why the part is in this state.
	Reason string `json:"reason"`

	// settling is true while the other entries may still report what they know.
	settling bool
	trialAt  time.Time
	tied     bool
}

// IsSettling reports whether the state is about to change by what other entries report.
func (s *Standing) IsSettling() bool { return s.settling }

// Action is what to do with a request.
type Action int

// Actions.
const (
	// ActionPass means that the request is sent like any other.
	ActionPass Action = iota
	// ActionWait means that more will be known in a moment.
	ActionWait
	// ActionTrial means that the request may be sent if no other trial runs for the
	// service.
	ActionTrial
	// ActionRefuse means that the request is refused.
	ActionRefuse
)

// Verdict is the action for a request.
type Verdict struct {
	Action Action
	// Gated are the standings of the request's parts that are not StateNone.
	Gated []Standing
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
}

// longest returns the gated part whose trial is due last, nil if there is none.
func (v *Verdict) longest() *Standing {
	if len(v.Gated) == 0 {
		return nil
	}
	g := &v.Gated[0]
	for i := range v.Gated {
		if v.Gated[i].trialAt.After(g.trialAt) {
			g = &v.Gated[i]
		}
	}
	return g
}

// IsWholeRequest reports whether the verdict is on the request as a whole, and not on a part of
// its prompt.
func (v *Verdict) IsWholeRequest() bool {
	g := v.longest()
	return g != nil && IsWholeRequest(g.Part)
}

// Detail describes the verdict for the caller and the log.
func (v *Verdict) Detail() string {
	g := v.longest()
	if g == nil {
		return ""
	}
	return fmt.Sprintf("%s is %s: %s", subject(g.Part), g.State, g.Reason)
}

// Check returns the verdict on a request of an organisation with the given parts.
func (q *Quarantine) Check(service, organisation string, parts []string, now time.Time) Verdict {
	if len(q.records) == 0 {
		return Verdict{}
	}
	v := Verdict{}
	for _, part := range parts {
		if s := q.standing(partKey{service, part}, organisation, now); s.State != StateNone {
			v.Gated = append(v.Gated, s)
		}
	}
	for i := range v.Gated {
		v.Action = max(v.Action, q.gateAction(&v.Gated[i], len(v.Gated) == 1, now))
		v.RetryAfter = max(v.RetryAfter, v.Gated[i].trialAt.Sub(now))
	}
	return v
}

// gateAction returns the action for a request with a gated part. alone is true if it has no
// other gated part.
func (q *Quarantine) gateAction(s *Standing, alone bool, now time.Time) Action {
	switch {
	case s.settling:
		return ActionWait
	case s.State == StateSuspected, !now.Before(s.trialAt), s.tied && alone:
		return ActionTrial
	default:
		return ActionRefuse
	}
}

// standing returns the state of a part for an organisation.
func (q *Quarantine) standing(key partKey, organisation string, now time.Time) Standing {
	index, ok := q.index[key]
	if !ok {
		return Standing{}
	}
	if s := q.evaluated(key.service)[key.part]; s != nil && s.moments > 0 {
		if out := q.newStanding(key, s, organisation, now); out.State != StateNone {
			return out
		}
	}
	losses, moments := organisationMoments(key.part, organisation, index)
	if moments < minMoments {
		return Standing{}
	}
	out := describe(key, losses, now)
	out.Organisation, out.Organisations = organisation, []string{organisation}
	out.Reason = fmt.Sprintf("%d times upstreams ended as requests of the organisation with it were to begin; it has begun only for others", moments)
	if moments == minMoments {
		// A coincidence is not unlikely while others use the part.
		out.State = StateSuspected
		out.setTrial(now, now)
		return out
	}
	out.State = StateQuarantined
	out.setTrial(losses[len(losses)-1].noticedAt.Add(growingHold(shortHold, moments-1)), now)
	return out
}

// newStanding returns the state of a part for an organisation by its evaluated standing.
func (q *Quarantine) newStanding(key partKey, s *standing, organisation string, now time.Time) Standing {
	out := describe(key, s.losses, now)
	out.Organisations, out.tied = s.organisations, s.tied
	latest := s.losses[len(s.losses)-1]
	settled := latest.learnedAt.Add(settleTime)
	switch {
	case s.isQuarantined():
		out.State = StateQuarantined
		out.Reason = fmt.Sprintf("%d times upstreams ended as requests with it were to begin, and none has begun since", s.moments)
		out.setTrial(latest.noticedAt.Add(s.holdTime(organisation)), now)
	case s.begunBefore && s.moments < minMoments:
		return Standing{}
	case isRepeatedRequest(key.part), IsWholeRequest(key.part) && now.Sub(latest.noticedAt) > requestSuspicionTime:
		return Standing{}
	case s.begunBefore:
		out.State = StateSuspected
		out.Reason = fmt.Sprintf("%d times upstreams ended as requests with it were to begin, and none has begun since; other upstreams ended as well", s.moments)
		out.setTrial(now, now)
	case now.Before(settled) && !IsWholeRequest(key.part):
		out.State, out.settling = StateSuspected, true
		out.Reason = "an upstream has just ended as a request with it was to begin"
		out.setTrial(settled, now)
	case s.chance <= maxChance && !q.isolated:
		out.State = StateQuarantined
		out.Reason = fmt.Sprintf("an upstream ended as a request with it was to begin, and it has never begun; nothing else explains that, and a coincidence has the probability %.3f", s.chance)
		out.setTrial(latest.noticedAt.Add(shortHold), now)
	default:
		out.State = StateSuspected
		out.Reason = fmt.Sprintf("an upstream ended as a request with it was to begin, and it has never begun; a coincidence has the probability %.3f", s.chance)
		out.setTrial(now, now)
	}
	return out
}

// holdTime returns how long a quarantined part is kept from upstreams after the latest loss,
// for an organisation. An organisation that had no part in the losses, which were all by
// requests of one other organisation, may soon show that the part is sound.
func (s *standing) holdTime(organisation string) time.Duration {
	switch {
	case len(s.organisations) == 1 && !slices.Contains(s.organisations, organisation):
		return shortHold
	case s.begunBefore:
		return growingHold(shortHold, s.moments)
	default:
		return growingHold(longHold, s.moments)
	}
}

// describe returns a standing with the losses.
func describe(key partKey, losses []*record, now time.Time) Standing {
	s := Standing{Service: key.service, Part: key.part, AgeMillis: now.Sub(losses[len(losses)-1].noticedAt).Milliseconds()}
	for _, r := range losses {
		s.Upstreams = append(s.Upstreams, r.Upstream)
	}
	return s
}

func (s *Standing) setTrial(at, now time.Time) {
	s.trialAt, s.TrialMillis = at, max(0, at.Sub(now).Milliseconds())
}
