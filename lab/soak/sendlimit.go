package soak

import (
	"net/http"
	"strconv"
	"time"
)

// Bounds of the requests to an upstream that names a limit.
const (
	// sendLimitWindow is the span in which requests are counted.
	sendLimitWindow = 4 * time.Second
	// sendLimitFactor and sendLimitSlack give the requests that may reach the upstream within
	// sendLimitWindow: factor * limit * window + slack.
	sendLimitFactor = 1.5
	sendLimitSlack  = 5
)

// sendLimit is the limit that an upstream names in its responses, and the requests that have
// reached it since.
type sendLimit struct {
	perSecond float64
	// since is when the upstream first named the limit.
	since    time.Time
	arrivals []time.Time
	// violated is true once a violation has been recorded: one line is enough.
	violated bool
}

// nameLimit makes the upstream name a limit in its responses from now on.
func (u *upstream) nameLimit(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = &sendLimit{perSecond: perSecond, since: time.Now()}
}

// removeLimit ends the limit.
func (u *upstream) removeLimit() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = nil
}

// limitArrivals returns how many requests have reached the upstream in a period while it
// named its limit.
func (u *upstream) limitArrivals(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit == nil {
		return 0
	}
	n := 0
	for _, at := range u.limit.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// recordArrival adds the limit to the header of a response and checks that the request keeps
// to it. Entries that were faulty lately are not judged.
func (u *upstream) recordArrival(h http.Header, now time.Time) {
	u.mu.Lock()
	l := u.limit
	if l == nil {
		u.mu.Unlock()
		return
	}
	h.Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	l.arrivals = append(l.arrivals, now)
	n := 0
	for _, at := range l.arrivals {
		if now.Sub(at) < sendLimitWindow && at.Sub(l.since) > contactTimeout {
			n++
		}
	}
	allowed := sendLimitFactor*l.perSecond*sendLimitWindow.Seconds() + sendLimitSlack
	broken := !l.violated && float64(n) > allowed && u.checker.entriesHealthy(now.Add(-sendLimitWindow-staleTime), now)
	l.violated = l.violated || broken
	u.mu.Unlock()
	if broken {
		u.checker.RecordViolation("%s got %d requests in %v, but names a limit of %v per second", u.host, n, sendLimitWindow, l.perSecond)
	}
}
