package sendlimit

import "time"

// Key identifies one incarnation of an upstream.
type Key struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}

// Notice is what one response of an upstream states about its limit.
type Notice struct {
	Key
	Service string
	// Limited is true if the response names a limit.
	Limited bool
	// Rate is the limit in requests per second over all entries.
	Rate float64
	// SentAt is when the request was sent, ReceivedAt when the response arrived.
	SentAt, ReceivedAt time.Time
}

// record is what is known about the limit of one upstream.
type record struct {
	service string
	limited bool
	rate    float64
	// entry is the entry that received the latest response that changed the record.
	entry string
	// since is when the upstream first named the limit, or when the limit ended.
	since time.Time
	// sentAt and receivedAt are the times of the latest response known.
	sentAt, receivedAt time.Time
	// spentAt is when this entry last sent a request to the upstream.
	spentAt time.Time
	// allowance is this entry's part of the limit.
	allowance *allowance
	// isHome is true if this entry grants the leases of the limit.
	isHome bool
	// place is the number of entries that would be the home before this one.
	place int
	// unlistedAt is when the upstream was first missing from the platform's list, zero
	// while it is listed.
	unlistedAt time.Time
}

// isNewer reports whether a response replaces what is known. A response that names a limit
// must have arrived after the latest one; a response that names none must answer a request
// that was sent after that.
func (r *record) isNewer(limited bool, sentAt, receivedAt time.Time) bool {
	if limited {
		return receivedAt.After(r.receivedAt)
	}
	return sentAt.After(r.receivedAt)
}

// apply replaces the record by a newer response, and reports whether the limit has changed.
func (r *record) apply(limited bool, rate float64, entry string, since, sentAt, receivedAt time.Time) bool {
	changed := r.limited != limited || limited && r.rate != rate
	if r.limited != limited {
		r.since = since
	}
	if changed {
		r.entry = entry
		// What was leased is a part of another limit.
		r.allowance.DropLease()
		r.allowance.level = min(1, r.allowance.level)
	}
	r.limited, r.rate, r.sentAt, r.receivedAt = limited, rate, sentAt, receivedAt
	return changed
}

// effectiveRate returns the requests per second that all entries together send.
func (r *record) effectiveRate() float64 { return max(minRate, r.rate) }
