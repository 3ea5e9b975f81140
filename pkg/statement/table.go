package statement

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// Bounds of a table.
const (
	// unlistedTime is how long the record of an upstream is kept that the platform no longer
	// lists. An upstream that is leaving may serve for some time after it was removed, and a
	// store that comes back from a copy may list it again.
	unlistedTime = 10 * time.Minute
	// maxRecords limits the records of upstreams that the platform no longer lists.
	maxRecords = 10_000
)

// Requests after a pause.
const (
	// resumeGrowth is how many requests each response after a pause allows in addition.
	resumeGrowth = 2
	// resumeResponses is the number of responses after which requests are no longer limited.
	resumeResponses = 5
	// resumeTimeout is the time after the latest request after which another one is allowed
	// without a response.
	resumeTimeout = 2 * time.Second
)

// record is what is known of one incarnation of an upstream.
type record struct {
	service string
	// leavingSince is when the upstream first stated that it is leaving, zero if it has not.
	leavingSince time.Time
	// pausedSince and pausedUntil are zero without a pause. They remain until the upstream
	// has resumed.
	pausedSince, pausedUntil time.Time
	// sent and answered count the requests sent after the pause and the responses to them.
	sent, answered int
	lastSentAt     time.Time
	// unlistedAt is when the upstream was first missing from the platform's list, zero while
	// it is listed.
	unlistedAt time.Time
}

// Table holds what the upstreams of an entry have stated. It is not safe for concurrent use.
type Table struct {
	records map[sendlimit.Key]*record
}

// New returns a table without statements.
func New() *Table { return &Table{records: make(map[sendlimit.Key]*record)} }

// IsEmpty reports whether nothing is known.
func (t *Table) IsEmpty() bool { return len(t.records) == 0 }

// Observe records a statement and returns what it has changed.
func (t *Table) Observe(s *Statement) Change {
	r, ok := t.records[s.Key]
	if !ok {
		if !s.Leaving && s.Pause <= 0 {
			return Change{}
		}
		r = t.add(s.Key, s.Service)
	}
	var c Change
	if s.Leaving && r.leavingSince.IsZero() {
		r.leavingSince, c.Leaving = s.ReceivedAt, true
	}
	if s.Pause > 0 {
		c.Began = r.pausedUntil.IsZero()
		c.Paused = r.pause(s)
	} else if r.resume(s) {
		c.Resumed = true
		if r.leavingSince.IsZero() {
			delete(t.records, s.Key)
		}
	}
	return c
}

// add adds a record. If there are too many, the one that was removed from the platform's list
// first is dropped.
func (t *Table) add(key sendlimit.Key, service string) *record {
	if len(t.records) >= maxRecords {
		var oldest sendlimit.Key
		var oldestAt time.Time
		for k, r := range t.records {
			if !r.unlistedAt.IsZero() && (oldestAt.IsZero() || r.unlistedAt.Before(oldestAt)) {
				oldest, oldestAt = k, r.unlistedAt
			}
		}
		delete(t.records, oldest)
	}
	r := &record{service: service}
	t.records[key] = r
	return r
}

// pause begins or lengthens a pause, and reports whether it did.
func (r *record) pause(s *Statement) bool {
	until := s.ReceivedAt.Add(min(s.Pause, MaxPause))
	if !until.After(r.pausedUntil) {
		return false
	}
	if !s.ReceivedAt.Before(r.pausedUntil) {
		r.pausedSince = s.ReceivedAt
	}
	r.pausedUntil, r.sent, r.answered = until, 0, 0
	return true
}

// resume records a response that names no pause, and reports whether it ends the restriction
// of requests after a pause.
func (r *record) resume(s *Statement) bool {
	if r.pausedUntil.IsZero() || s.SentAt.Before(r.pausedUntil) {
		return false
	}
	r.answered++
	if r.answered < resumeResponses {
		return false
	}
	r.pausedSince, r.pausedUntil = time.Time{}, time.Time{}
	return true
}

// IsLeaving reports whether an upstream has stated that it is leaving.
func (t *Table) IsLeaving(key sendlimit.Key) bool {
	r, ok := t.records[key]
	return ok && !r.leavingSince.IsZero()
}

// PausedUntil returns the end of an upstream's latest pause, zero if it is used without
// restriction.
func (t *Table) PausedUntil(key sendlimit.Key) time.Time {
	if r, ok := t.records[key]; ok {
		return r.pausedUntil
	}
	return time.Time{}
}

// Allows reports whether this entry may send a request to an upstream.
func (t *Table) Allows(key sendlimit.Key, now time.Time) bool {
	r, ok := t.records[key]
	switch {
	case !ok:
		return true
	case !r.leavingSince.IsZero() || now.Before(r.pausedUntil):
		return false
	case r.pausedUntil.IsZero():
		return true
	default:
		return r.sent < 1+resumeGrowth*r.answered || now.Sub(r.lastSentAt) >= resumeTimeout
	}
}

// Spend records that a request is sent to an upstream.
func (t *Table) Spend(key sendlimit.Key, now time.Time) {
	if r, ok := t.records[key]; ok && !r.pausedUntil.IsZero() {
		r.sent++
		r.lastSentAt = now
	}
}

// SetListed applies the platform's list of upstreams. Records of upstreams that have been
// missing for unlistedTime are removed.
func (t *Table) SetListed(listed map[sendlimit.Key]bool, now time.Time) {
	for key, r := range t.records {
		switch {
		case listed[key]:
			r.unlistedAt = time.Time{}
		case r.unlistedAt.IsZero():
			r.unlistedAt = now
		case now.Sub(r.unlistedAt) > unlistedTime:
			delete(t.records, key)
		}
	}
}

// Leaving returns the upstreams that have stated that they are leaving.
func (t *Table) Leaving() []sendlimit.Key {
	var list []sendlimit.Key
	for key, r := range t.records {
		if !r.leavingSince.IsZero() {
			list = append(list, key)
		}
	}
	return list
}

// StateName names the state of an upstream that gets no or few requests.
type StateName string

// States.
const (
	StateLeaving StateName = "leaving"
	StatePaused  StateName = "paused"
	// StateResuming means that a pause has ended and few requests are sent.
	StateResuming StateName = "resuming"
)

// Source is what a state is known from.
type Source string

// Sources.
const (
	// SourceResponse means that a response of the upstream to this entry states it.
	SourceResponse Source = "response"
	// SourceList means that the platform's list states it.
	SourceList Source = "list"
	// SourceAddress means that another upstream responds at the address.
	SourceAddress Source = "address"
)

// State is the state of an upstream as operators see it.
type State struct {
	sendlimit.Key
	Service string    `json:"service"`
	State   StateName `json:"state"`
	Source  Source    `json:"source"`
	// SinceSeconds is the time since the state began, RemainingSeconds the time to the end of
	// a pause, 0 otherwise.
	SinceSeconds     float64 `json:"since_seconds"`
	RemainingSeconds float64 `json:"remaining_seconds"`
	// Listed is false if the platform no longer lists the upstream.
	Listed bool `json:"listed"`
}

// States returns the states that upstreams have stated, in no order.
func (t *Table) States(now time.Time) []State {
	list := make([]State, 0, len(t.records))
	for key, r := range t.records {
		s := State{Key: key, Service: r.service, Source: SourceResponse, Listed: r.unlistedAt.IsZero()}
		if !r.leavingSince.IsZero() {
			s.State, s.SinceSeconds = StateLeaving, now.Sub(r.leavingSince).Seconds()
			list = append(list, s)
		}
		switch {
		case r.pausedUntil.IsZero():
		case now.Before(r.pausedUntil):
			s.State, s.SinceSeconds, s.RemainingSeconds = StatePaused, now.Sub(r.pausedSince).Seconds(), r.pausedUntil.Sub(now).Seconds()
			list = append(list, s)
		default:
			s.State, s.SinceSeconds = StateResuming, now.Sub(r.pausedUntil).Seconds()
			list = append(list, s)
		}
	}
	return list
}
