package soak

import (
	"fmt"
	"sync"
	"time"
)

// request is what the soak knows of one try of a caller.
type request struct {
	id           string
	path         string
	organisation string
	key          string
	// unsafe is true for work that must run at most once.
	unsafe bool
	sent   time.Time
	// runs are the upstreams that ran it.
	runs []string
	// refused is true once the caller was told that it has not run and never will.
	refused bool
}

// ledger keeps all requests and what was broken. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	broken   []string
	counts   map[string]int
	// served are when callers got a whole answer, asked when they asked.
	served, asked []time.Time
	keys          map[string]keyLife
	services      []serviceLife
	inTouch       func(since, until time.Time) bool
}

// keyLife is the time in which a key is valid.
type keyLife struct {
	organisation string
	madeAt       time.Time
	// takenAt is when the store took the configuration without it, zero while valid.
	takenAt time.Time
}

// serviceLife is which service a route went to from a time on.
type serviceLife struct {
	at      time.Time
	service string
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*request), counts: make(map[string]int), keys: make(map[string]keyLife)}
}

// violate records a broken promise. The caller holds the lock.
func (l *ledger) violate(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// Violate records a broken promise.
func (l *ledger) Violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(format, args...)
}

// madeAt is when a key came in force. The caller holds the lock.
func (l *ledger) madeAt(key string) time.Time { return l.keys[key].madeAt }

// Asked records a request that is about to be sent.
func (l *ledger) Asked(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
	l.asked = append(l.asked, r.sent)
}

// configured records what a configuration that was just written allows.
func (l *ledger) configured(keys map[string]string, service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, life := range l.keys {
		if life.takenAt.IsZero() && keys[life.organisation] != key {
			life.takenAt = now
			l.keys[key] = life
		}
	}
	for organisation, key := range keys {
		if _, ok := l.keys[key]; !ok {
			l.keys[key] = keyLife{organisation: organisation, madeAt: now}
		}
	}
	if n := len(l.services); n == 0 || l.services[n-1].service != service {
		l.services = append(l.services, serviceLife{at: now, service: service})
	}
}

// Count counts an outcome.
func (l *ledger) Count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// Served records a whole answer to a request that was sent at a time.
func (l *ledger) Served(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served = append(l.served, sent)
	l.counts["served"]++
}

// Refused records that a caller was told that its request never ran.
func (l *ledger) Refused(r *request, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.refused = true
	l.counts[fmt.Sprint("refused ", status)]++
	if r.unsafe && len(r.runs) > 0 {
		l.violate("request %s was answered %d, but has run at %v", r.id, status, r.runs)
	}
}

// arrival is a request as it reaches an upstream.
type arrival struct {
	id, path, service, upstream string
	organisation, key           string
}

// Run records that an upstream runs a request, and checks that it may.
func (l *ledger) Run(a *arrival, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[a.id]
	switch {
	case !ok:
		l.violate("%s ran %q, which nobody sent", a.upstream, a.id)
		return
	case a.path != r.path:
		l.violate("%s ran %s with the path %s, sent was %s", a.upstream, a.id, a.path, r.path)
	case a.organisation != r.organisation:
		l.violate("%s ran %s for %q, it belongs to %q", a.upstream, a.id, a.organisation, r.organisation)
	case a.key != "":
		l.violate("%s got the key of %s", a.upstream, a.id)
	}
	r.runs = append(r.runs, a.upstream)
	if r.unsafe && len(r.runs) > 1 {
		l.violate("request %s ran more than once: %v", r.id, r.runs)
	}
	if r.unsafe && r.refused {
		l.violate("request %s ran at %s after its caller was told that it never will", r.id, a.upstream)
	}
	if key := l.keys[r.key]; !key.takenAt.IsZero() && r.sent.Sub(key.takenAt) > revokeAfter {
		l.violate("request %s ran with a key that was taken away %v before it was sent", r.id, r.sent.Sub(key.takenAt))
	}
	l.checkService(r, a, now)
}

// checkService checks that plain work runs where a configuration sends it that may
// be in force. The caller holds the lock.
func (l *ledger) checkService(r *request, a *arrival, now time.Time) {
	if r.path != pathConfirm && r.path != pathStatus {
		return
	}
	allowed := false
	for i, s := range l.services {
		over := i+1 < len(l.services) && r.sent.Sub(l.services[i+1].at) > configAfter
		allowed = allowed || s.service == a.service && (!over || !l.inTouch(r.sent.Add(-touchSlack), now))
	}
	if !allowed {
		l.violate("request %s, sent %s, ran at %s of %s, which no configuration in force allows", r.id, r.sent.Format(time.TimeOnly), a.upstream, a.service)
	}
}

// Recovered checks that callers who asked in a span were served again.
func (l *ledger) Recovered(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := func(list []time.Time) (n int) {
		for _, at := range list {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	asked, served := in(l.asked), in(l.served)
	if asked == 0 || float64(served) < recoveredPart*float64(asked) {
		l.violate("after the faults %d of %d requests were served", served, asked)
	}
}
