package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/recent"
)

// UpstreamKey identifies one incarnation of an upstream. An upstream may keep its ID when
// it restarts.
type UpstreamKey struct {
	ID          string
	Incarnation string
}

// Upstream is one incarnation of an upstream.
type Upstream struct {
	UpstreamKey
	Service string
	// Group and Epoch are those of a rank, Group is empty for any other upstream.
	Group string
	Epoch uint64
}

// Attempt is a request that was sent to an upstream.
type Attempt struct {
	// ID identifies the attempt, RequestID its request.
	ID        string
	RequestID string
	// Organisation is the organisation of the caller.
	Organisation string
	// Parts are the IDs of the prompt's shared parts.
	Parts []string
	// Fingerprint identifies all requests with the same organisation, method, path and body.
	Fingerprint string
	// Trial is true if the attempt was a trial.
	Trial    bool
	Upstream Upstream
	SentAt   time.Time
	// FirstPartAt is when the first part of the response arrived, zero before.
	FirstPartAt time.Time
	// received counts the parts of the response that have arrived.
	received int
}

// minReceived is the number of parts of a response after which the upstream has certainly
// survived its beginning. The first one may have been on its way when the upstream ended.
const minReceived = 2

// HasBegun reports whether the response has begun and the upstream has survived that.
func (a *Attempt) HasBegun() bool { return a.received >= minReceived }

// Loss describes an upstream that has ended without notice.
type Loss struct {
	Upstream Upstream
	// Evidence is how the end was noticed.
	Evidence LossEvidence
	// NoticedAt is when the first attempt at the upstream broke off.
	NoticedAt time.Time
	// Unbegun are the attempts that had not begun there, in the order in which they were
	// sent. Begun counts the others.
	Unbegun []Attempt
	Begun   int
	// RecentlySent is the number of attempts that this entry sent to the upstream in the
	// last second.
	RecentlySent int
}

// LossEvidence is what confirms that an upstream has ended.
type LossEvidence string

// Evidence of a loss.
const (
	// LossRefused means that the upstream's address refuses connections.
	LossRefused LossEvidence = "connection refused"
	// LossReported means that the agent beside the upstream has reported the end.
	LossReported LossEvidence = "reported by its agent"
	// LossReplaced means that another upstream has the address.
	LossReplaced LossEvidence = "address has another upstream"
	// LossRestarted means that the platform lists a later incarnation of the upstream.
	LossRestarted LossEvidence = "listed as restarted"
	// LossUnlisted means that the platform has removed the upstream from its list, and that
	// the upstream has accepted no connection since. It may have ended or be cut off.
	LossUnlisted LossEvidence = "no longer listed"
)

// isCrash reports whether the upstream's process has certainly ended, as opposed to having
// become unreachable.
func (e LossEvidence) isCrash() bool { return e != LossUnlisted }

// lossConfirmTime is how long after an attempt broke off the loss of its upstream may be
// confirmed. The platform removes an upstream from its list after a few seconds.
const lossConfirmTime = 10 * time.Second

// recentSendWindow is the window in which attempts count as recently sent.
const recentSendWindow = time.Second

// LossDetector follows the attempts of one entry and detects upstreams that have ended. An
// attempt that breaks off only raises a suspicion, as connections break for other reasons.
type LossDetector struct {
	attempts map[string]*Attempt
	// suspects are the upstreams at which attempts broke off.
	suspects map[UpstreamKey]*suspect
	// sends counts the attempts by upstream.
	sends map[UpstreamKey]*recent.Counter
	// leaving are the upstreams that have announced their end.
	leaving map[UpstreamKey]bool
}

type suspect struct {
	since time.Time
	// recentlySent is Loss.RecentlySent.
	recentlySent int
	// broken are the attempts that broke off.
	broken []Attempt
	// reachable is true if the upstream has accepted a connection since. It may still have
	// restarted.
	reachable bool
	// lost is true once the loss was returned.
	lost bool
}

// NewLossDetector returns a detector without attempts.
func NewLossDetector() *LossDetector {
	return &LossDetector{
		attempts: make(map[string]*Attempt), suspects: make(map[UpstreamKey]*suspect),
		sends: make(map[UpstreamKey]*recent.Counter), leaving: make(map[UpstreamKey]bool),
	}
}

// RecordStart records that an attempt is sent.
func (d *LossDetector) RecordStart(a Attempt) {
	d.attempts[a.ID] = &a
	sends, ok := d.sends[a.Upstream.UpstreamKey]
	if !ok {
		counter := recent.New(recentSendWindow)
		sends = &counter
		d.sends[a.Upstream.UpstreamKey] = sends
	}
	sends.Add(a.SentAt)
}

// RecordPart records that a part of an attempt's response has arrived. It returns the
// attempt if it has begun with this part, and nil otherwise.
func (d *LossDetector) RecordPart(id string, now time.Time) *Attempt {
	a, ok := d.attempts[id]
	if !ok {
		return nil
	}
	if a.received == 0 {
		a.FirstPartAt = now
	}
	a.received++
	if a.received == minReceived {
		return a
	}
	return nil
}

// RecordEnd records the end of an attempt, and returns it. broken states that the upstream
// broke it off. The result is nil if the attempt is not known.
func (d *LossDetector) RecordEnd(id string, broken bool, now time.Time) *Attempt {
	a, ok := d.attempts[id]
	if !ok {
		return nil
	}
	delete(d.attempts, id)
	if broken {
		d.suspect(a, now)
	}
	return a
}

// suspect records that an attempt broke off.
func (d *LossDetector) suspect(a *Attempt, now time.Time) {
	key := a.Upstream.UpstreamKey
	s, ok := d.suspects[key]
	if !ok || !s.lost && (s.reachable || now.Sub(s.since) > lossConfirmTime) {
		s = &suspect{since: now}
		if counter := d.sends[key]; counter != nil {
			s.recentlySent = counter.Count(now)
		}
		d.suspects[key] = s
	}
	if !s.lost {
		s.broken = append(s.broken, *a)
	}
}

// Expire drops what is too old to matter, for upstreams that are not on a list.
func (d *LossDetector) Expire(now time.Time) {
	for key, s := range d.suspects {
		if now.Sub(s.since) > lossConfirmTime {
			delete(d.suspects, key)
		}
	}
	for key, counter := range d.sends {
		if counter.Count(now) == 0 {
			delete(d.sends, key)
		}
	}
}

// RecordReachable records that an upstream has accepted a connection.
func (d *LossDetector) RecordReachable(key UpstreamKey) {
	if s, ok := d.suspects[key]; ok {
		s.reachable = true
	}
}

// SetListed applies the platform's list of upstreams: whether each of them is leaving. It
// returns the losses that the list confirms. Upstreams that were leaving are no losses.
func (d *LossDetector) SetListed(leaving map[UpstreamKey]bool, now time.Time) []Loss {
	incarnations := make(map[string]bool, len(leaving))
	for key := range leaving {
		incarnations[key.ID] = true
	}
	var losses []Loss
	for key, s := range d.suspects {
		if _, ok := leaving[key]; ok {
			continue
		}
		var loss *Loss
		switch {
		case incarnations[key.ID]:
			loss = d.Confirm(key, LossRestarted, now)
		case !s.reachable:
			loss = d.Confirm(key, LossUnlisted, now)
		}
		if loss != nil {
			losses = append(losses, *loss)
		}
		if now.Sub(s.since) > lossConfirmTime {
			delete(d.suspects, key)
		}
	}
	for key, counter := range d.sends {
		if _, ok := leaving[key]; !ok && counter.Count(now) == 0 {
			delete(d.sends, key)
		}
	}
	d.leaving = leaving
	slices.SortFunc(losses, func(a, b Loss) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return losses
}

// Confirm records that an upstream has ended. It returns the loss if the end was suspected
// and had not been announced, and nil otherwise.
func (d *LossDetector) Confirm(key UpstreamKey, evidence LossEvidence, now time.Time) *Loss {
	s, ok := d.suspects[key]
	if !ok || s.lost || d.leaving[key] || now.Sub(s.since) > lossConfirmTime {
		return nil
	}
	s.lost = true
	attempts := slices.Clone(s.broken)
	for _, a := range d.attempts {
		if a.Upstream.UpstreamKey == key {
			attempts = append(attempts, *a)
		}
	}
	loss := newLoss(attempts)
	loss.Evidence, loss.NoticedAt, loss.RecentlySent = evidence, s.since, s.recentlySent
	slices.SortFunc(loss.Unbegun, func(a, b Attempt) int {
		return cmp.Or(a.SentAt.Compare(b.SentAt), cmp.Compare(a.ID, b.ID))
	})
	return loss
}

// newLoss returns the loss of an upstream with the attempts that were there.
func newLoss(attempts []Attempt) *Loss {
	loss := &Loss{Upstream: attempts[0].Upstream}
	for i := range attempts {
		loss.Upstream.Epoch = max(loss.Upstream.Epoch, attempts[i].Upstream.Epoch)
	}
	for i := range attempts {
		switch a := &attempts[i]; {
		case a.HasBegun():
			loss.Begun++
		case a.Upstream.Epoch < loss.Upstream.Epoch:
			// The group has been formed again since, which ends all attempts.
		default:
			loss.Unbegun = append(loss.Unbegun, *a)
		}
	}
	return loss
}
