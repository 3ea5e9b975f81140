package soak

import (
	"net/http"
	"strconv"
	"time"
)

// Bounds of the requests to an upstream that wants none for some time.
const (
	// waitGrace is the time after a response that asks to wait from which on requests count.
	waitGrace = 500 * time.Millisecond
	// maxWaitArrivals is the number of requests that may then arrive from the same entry until
	// the stated time is over.
	maxWaitArrivals = 2
)

// statements is what an upstream states about itself apart from its limit.
type statements struct {
	leaving bool
	// unlisted is true if the upstream doesn't register any more although it serves.
	unlisted bool
	// busyUntil is when the upstream wants requests again.
	busyUntil time.Time
	waits     []wait
	// disturbedUntil is the time until which responses may be lost on the way.
	disturbedUntil time.Time
}

// wait is a time for which an upstream has asked an entry to wait.
type wait struct {
	entry            string
	since, from, end time.Time
	arrivals         int
}

// stateLeaving makes the upstream state that it is leaving. Its registration stays as it is, or
// is removed.
func (u *upstream) stateLeaving(listed bool) {
	u.mu.Lock()
	u.statements.leaving, u.statements.unlisted = true, !listed
	id := u.id
	u.mu.Unlock()
	if !listed {
		// A heartbeat that has begun registers once more.
		time.Sleep(20 * time.Millisecond)
		u.store.Remove("servers", id)
	}
}

// turnAway makes the upstream turn requests away for some time.
func (u *upstream) turnAway(length time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.statements.busyUntil = time.Now().Add(length)
}

// markDisturbed records that responses may be lost on the way until a time.
func (u *upstream) markDisturbed(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if until.After(u.statements.disturbedUntil) {
		u.statements.disturbedUntil = until
	}
}

// state adds what the upstream states to the header of a response, and checks that the request
// may arrive. It reports whether the upstream turns the request away.
func (u *upstream) state(h http.Header, attempt string, now time.Time) bool {
	entry, sentAt := u.checker.entryOf(attempt)
	u.mu.Lock()
	s := &u.statements
	id, leaving, busy := u.id, s.leaving || u.draining, s.busyUntil.Sub(now)
	var broken *wait
	for i := range s.waits {
		w := &s.waits[i]
		if w.entry != entry || now.Before(w.from) || !now.Before(w.end) || !u.checker.uninterruptedSince(entry, w.since) {
			continue
		}
		w.arrivals++
		if w.arrivals == maxWaitArrivals+1 {
			broken = w
		}
	}
	if busy > 0 && entry != "" && now.After(s.disturbedUntil) {
		s.waits = append(s.waits, wait{entry: entry, since: now, from: now.Add(waitGrace), end: s.busyUntil})
	}
	u.mu.Unlock()
	if broken != nil {
		u.checker.RecordViolation("%s got %d requests from the entry %s in the %v for which it had asked it to wait", u.host, broken.arrivals, entry, broken.end.Sub(broken.since))
	}
	u.checker.checkLeaving(id, entry, sentAt, now)
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("X-Soak-Upstream", id)
	}
	if busy > 0 {
		h.Set("Retry-After", strconv.FormatFloat(busy.Seconds(), 'f', 3, 64))
	}
	return busy > 0
}

// waitCount returns how often the upstream has asked an entry to wait.
func (u *upstream) waitCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.statements.waits)
}

// passedOn identifies the responses with which an entry has passed on that an upstream is
// leaving.
type passedOn struct{ entry, upstream string }

// recordEntry records the entry that takes a request.
func (c *checker) recordEntry(r *request, entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.entry = entry
}

// entryOf returns the entry that has taken a request, and when the caller sent it.
func (c *checker) entryOf(id string) (string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[id]
	if !ok {
		return "", time.Time{}
	}
	return r.entry, r.sentAt
}

// recordLeaving records that a caller has received a response that states that its upstream is
// leaving.
func (c *checker) recordLeaving(r *request, upstream string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := passedOn{r.entry, upstream}
	if _, ok := c.leaving[key]; !ok {
		c.leaving[key] = now
	}
}

// leavingCount returns how many entries have passed on that an upstream is leaving, over all
// upstreams.
func (c *checker) leavingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.leaving)
}

// checkLeaving checks that a request that reaches an upstream was not sent later than drainLimit
// after its entry had passed on that the upstream is leaving.
func (c *checker) checkLeaving(upstream, entry string, sentAt, now time.Time) {
	c.mu.Lock()
	at, ok := c.leaving[passedOn{entry, upstream}]
	c.mu.Unlock()
	if ok && sentAt.Sub(at) > drainLimit && c.uninterruptedSince(entry, at) {
		c.RecordViolation("%s got a request from the entry %s that was sent %v after that entry had passed on that it is leaving", upstream, entry, sentAt.Sub(at))
	}
}

// uninterruptedSince reports whether an entry has run since a time without a restart or freeze.
func (d *deployment) uninterruptedSince(entry string, at time.Time) bool {
	for i, p := range d.entries {
		if hostIP(1, i) == entry {
			return p.uninterruptedSince(at)
		}
	}
	return false
}
