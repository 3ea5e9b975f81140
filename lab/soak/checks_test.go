package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestTheCheckerFails breaks each promise on purpose: the soak must see it.
func TestTheCheckerFails(t *testing.T) {
	now := time.Now()
	valid := map[string]string{"north": "k1"}
	for _, c := range []struct {
		name string
		harm func(l *ledger)
	}{
		{"unsafe work twice", func(l *ledger) {
			l.Asked(&request{id: "a", path: pathConfirm, organisation: "north", key: "k1", unsafe: true, sent: now})
			for _, u := range []string{"u1", "u2"} {
				l.Run(&arrival{id: "a", path: pathConfirm, service: services[0], upstream: u, organisation: "north"}, now)
			}
		}},
		{"run before a refusal", func(l *ledger) {
			r := &request{id: "a", path: pathConfirm, organisation: "north", key: "k1", unsafe: true, sent: now}
			l.Asked(r)
			l.Run(&arrival{id: "a", path: pathConfirm, service: services[0], upstream: "u", organisation: "north"}, now)
			l.Refused(r, http.StatusServiceUnavailable)
		}},
		{"run after a refusal", func(l *ledger) {
			r := &request{id: "a", path: pathConfirm, organisation: "north", key: "k1", unsafe: true, sent: now}
			l.Asked(r)
			l.Refused(r, http.StatusServiceUnavailable)
			l.Run(&arrival{id: "a", path: pathConfirm, service: services[0], upstream: "u", organisation: "north"}, now)
		}},
		{"request that nobody sent", func(l *ledger) {
			l.Run(&arrival{id: "a", path: pathDraft, upstream: "u"}, now)
		}},
		{"another organisation", func(l *ledger) {
			l.Asked(&request{id: "a", path: pathDraft, organisation: "north", key: "k1", sent: now})
			l.Run(&arrival{id: "a", path: pathDraft, upstream: "u", organisation: "forged"}, now)
		}},
		{"key passed on", func(l *ledger) {
			l.Asked(&request{id: "a", path: pathDraft, organisation: "north", key: "k1", sent: now})
			l.Run(&arrival{id: "a", path: pathDraft, upstream: "u", organisation: "north", key: "k1"}, now)
		}},
		{"key that was taken away", func(l *ledger) {
			l.configured(map[string]string{"north": "k2"}, services[0], now)
			l.Asked(&request{id: "a", path: pathDraft, organisation: "north", key: "k1", sent: now.Add(revokeAfter + time.Millisecond)})
			l.Run(&arrival{id: "a", path: pathDraft, upstream: "u", organisation: "north"}, now)
		}},
		{"old service", func(l *ledger) {
			l.configured(valid, services[1], now)
			l.Asked(&request{id: "a", path: pathStatus, organisation: "north", key: "k1", sent: now.Add(configAfter + time.Millisecond)})
			l.Run(&arrival{id: "a", path: pathStatus, service: services[0], upstream: "u", organisation: "north"}, now)
		}},
		{"no recovery", func(l *ledger) {
			l.Asked(&request{id: "a", sent: now})
			l.Recovered(now, now.Add(time.Second))
		}},
	} {
		l := newLedger()
		l.inTouch = func(time.Time, time.Time) bool { return true }
		l.configured(valid, services[0], now.Add(-time.Hour))
		if c.harm(l); len(l.broken) == 0 {
			t.Errorf("%s: not seen", c.name)
		}
	}
}

// TestAnswersAreChecked gives callers wrong answers.
func TestAnswersAreChecked(t *testing.T) {
	stream := func(ids ...string) string {
		var b strings.Builder
		for _, id := range ids {
			b.WriteString("id: " + id + "\ndata: a-" + id + "\n\n")
		}
		return b.String()
	}
	for _, c := range []struct {
		name, seal, body string
		stream           bool
	}{
		{"another's signature", seal("b"), plainBody("a"), false},
		{"another's body", seal("a"), plainBody("b"), false},
		{"cut body", seal("a"), "done", false},
		{"event missing", seal("a"), stream("1", "3"), true},
		{"event twice", seal("a"), stream("1", "1"), true},
		{"looks complete", seal("a"), stream("1", "2"), true},
	} {
		l := newLedger()
		caller := &caller{world: &world{ledger: l}}
		resp := &http.Response{Header: http.Header{"X-Replica-Seal": {c.seal}, "X-Attempt-Id": {"a"}}, Body: io.NopCloser(strings.NewReader(c.body))}
		if caller.check(&request{id: "a"}, resp, c.stream); len(l.broken) == 0 {
			t.Errorf("%s: not seen", c.name)
		}
	}
}

// TestMixedMapsAreSeen begins a pass in which the ranks have different maps.
func TestMixedMapsAreSeen(t *testing.T) {
	l := newLedger()
	g := newGroup("g", 2, l, 1)
	for _, r := range g.ranks {
		r.alive, r.active = true, g.firstMap()
	}
	g.open, g.waiting = true, 1
	g.begin()
	if len(l.broken) > 0 {
		t.Fatalf("seen with one map: %v", l.broken)
	}
	g.ranks[1].active.version = 3
	if g.begin(); len(l.broken) == 0 {
		t.Error("not seen")
	}
}
