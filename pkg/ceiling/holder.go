package ceiling

import "time"

// Bucket is an entry's part of one organisation's ceiling.
type Bucket struct {
	base  float64
	lease lease
	asks  uint64
	sent  time.Time
	// asked is tokens that requests asked for since the last question.
	asked    float64
	askedAt  time.Time
	want     float64
	level    float64
	leveled  time.Time
	usedLast time.Time
}

// lease is a part granted by a home.
type lease struct {
	home   string
	number uint64
	part   float64
	until  time.Time
}

// NewBucket returns a holder at its fixed fraction, with its bucket full.
func NewBucket(base float64, burst time.Duration, now time.Time) *Bucket {
	return &Bucket{base: base, level: base * burst.Seconds(), leveled: now, askedAt: now, usedLast: now}
}

// SetBase sets the fixed fraction.
func (h *Bucket) SetBase(base float64) { h.base = base }

// Rate returns the part in tokens a second that may be spent now.
func (h *Bucket) Rate(now time.Time) float64 {
	if h.lease.number != 0 && now.Before(h.lease.until) {
		return h.lease.part
	}
	return h.base
}

// NextRequest returns the next question to the home. A lease of another home must have
// ended before that home is asked.
func (h *Bucket) NextRequest(organisation, entry string, now time.Time) LeaseRequest {
	h.asks++
	h.sent = now
	if elapsed := now.Sub(h.askedAt).Seconds(); elapsed > 0 {
		h.want = max(h.asked/elapsed, h.want/2)
		h.asked, h.askedAt = 0, now
	}
	q := LeaseRequest{Organisation: organisation, Entry: entry, Sequence: h.asks, Held: h.Rate(now), Demand: h.want}
	if h.lease.number != 0 && now.Before(h.lease.until) {
		q.Home, q.LeaseID = h.lease.home, h.lease.number
	}
	return q
}

// LeaseHome returns the home whose lease is held, or "".
func (h *Bucket) LeaseHome(now time.Time) string {
	if h.lease.number != 0 && now.Before(h.lease.until) {
		return h.lease.home
	}
	return ""
}

// ApplyGrant takes a grant. Answers to earlier questions are dropped. A part above the
// fixed fraction ends counted from the question, one below it counted from the
// answer, so that the home's account ends between the two.
func (h *Bucket) ApplyGrant(g Grant, now time.Time) {
	if g.Sequence != h.asks {
		return
	}
	from := now
	if g.Rate > h.base {
		from = h.sent
	}
	h.lease = lease{home: g.Home, number: g.LeaseID, part: g.Rate, until: from.Add(g.Duration)}
}

// Spend takes the cost of a request from the bucket. When there is too little it
// returns the time until there is enough. A request that costs more than a full
// bucket needs a full one and leaves a debt.
func (h *Bucket) Spend(cost float64, burst time.Duration, now time.Time) (time.Duration, bool) {
	h.asked += cost
	h.usedLast = now
	part := h.Rate(now)
	full := part * burst.Seconds()
	h.level = min(full, h.level+part*now.Sub(h.leveled).Seconds())
	h.leveled = now
	need := min(cost, full)
	if h.level < need || part <= 0 {
		return h.wait(need-h.level, part), false
	}
	h.level -= cost
	return 0, true
}

// longestWait is the longest wait that is named to a caller.
const longestWait = time.Minute

func (h *Bucket) wait(missing, part float64) time.Duration {
	if part <= 0 {
		return LeaseDuration
	}
	return min(longestWait, time.Duration(missing/part*float64(time.Second)))
}

// idle is how long an unused holder is kept.
const idle = 30 * time.Second

// Idle reports whether the holder can be forgotten: it has not been used for a
// time and its bucket would be full.
func (h *Bucket) Idle(now time.Time) bool {
	return now.Sub(h.usedLast) > idle && h.level >= 0 && h.LeaseHome(now) == ""
}
