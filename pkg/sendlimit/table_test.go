package sendlimit

import (
	"encoding/json"
	"testing"
	"time"
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func notice(limited bool, rate float64, sentMillis, receivedMillis int) *Notice {
	return &Notice{Key: upstreamKey, Service: "m", Limited: limited, Rate: rate, SentAt: after(sentMillis), ReceivedAt: after(receivedMillis)}
}

// TestResponsesThatOvertakeEachOther guards against a limit that is lifted by a response that
// is older than the one that named it, and against an old one that is applied again.
func TestResponsesThatOvertakeEachOther(t *testing.T) {
	table := New("a", 1)
	if table.Observe(notice(false, 0, 0, 5)) || !table.IsEmpty() {
		t.Error("an upstream without a limit is recorded")
	}
	if !table.Observe(notice(true, 2, 10, 100)) || !table.IsLimited(upstreamKey) {
		t.Fatal("the limit does not apply")
	}
	if table.Observe(notice(false, 0, 90, 200)) || !table.IsLimited(upstreamKey) {
		t.Error("a response whose request was sent before the limit was named ends the limit")
	}
	if table.Observe(notice(true, 2, 150, 300)) {
		t.Error("the same limit counts as a change")
	}
	if !table.Observe(notice(true, 1, 250, 400)) {
		t.Error("another rate does not count as a change")
	}
	if !table.Observe(notice(false, 0, 500, 510)) || table.IsLimited(upstreamKey) {
		t.Error("a later response without a limit does not end it")
	}
	if table.Observe(notice(true, 3, 450, 490)) || table.IsLimited(upstreamKey) {
		t.Error("a response that is older than the end of the limit applies")
	}
}

// TestReportsOfOtherEntries guards against entries that don't learn of a limit, or of its
// end, and against late reports that undo a newer one.
func TestReportsOfOtherEntries(t *testing.T) {
	a, b := New("a", 1), New("b", 2)
	b.LeaseRequests([]string{"a", "b"}, after(0))
	merge := func(to, from *Table, ms int) bool {
		t.Helper()
		changed := false
		for _, r := range from.Reports(after(ms)) {
			raw, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			var decoded Report
			if err := json.Unmarshal(raw, &decoded); err != nil {
				t.Fatal(err)
			}
			c, err := to.Merge(&decoded, after(ms))
			if err != nil {
				t.Error(err)
			}
			changed = changed || c
		}
		return changed
	}
	a.Observe(notice(true, 2, 0, 100))
	if !merge(b, a, 1000) || !b.IsLimited(upstreamKey) {
		t.Fatal("the limit of the other entry does not apply")
	}
	if l := b.Limits(after(2000))[0]; l.ReceivedBy != "a" || l.Rate != 2 || l.SinceSeconds < 1.89 || l.SinceSeconds > 1.91 {
		t.Errorf("the limit is shown as %+v", l)
	}
	if perSecond, _ := b.Rate(upstreamKey, after(2000)); perSecond != 1 {
		t.Errorf("the entry may send %v per second at once, want its half", perSecond)
	}
	late := a.Reports(after(1500))
	b.Observe(notice(false, 0, 1600, 1700))
	if changed, err := b.Merge(&late[0], after(1800)); changed || err != nil || b.IsLimited(upstreamKey) {
		t.Errorf("a late report applies again: %v", err)
	}
	if !merge(a, b, 1900) || a.IsLimited(upstreamKey) {
		t.Error("the end of the limit does not apply at the other entry")
	}
	for _, r := range []Report{{}, {Key: upstreamKey, Rate: -1}, {Key: upstreamKey, ReceivedMillis: 5}, {Key: upstreamKey, SinceMillis: -1}, {Key: upstreamKey, Rate: 2 * MaxRate}, {Key: upstreamKey, SentMillis: 1 << 62}} {
		if _, err := a.Merge(&r, after(2000)); err == nil {
			t.Errorf("the report %+v is accepted", r)
		}
	}
}

// TestLimitBelongsToIncarnation guards against the limit of an upstream that has restarted.
func TestLimitBelongsToIncarnation(t *testing.T) {
	table := New("a", 1)
	table.Observe(notice(true, 2, 0, 100))
	next := Key{Upstream: upstreamKey.Upstream, Incarnation: "2"}
	if table.IsLimited(next) || !table.Allows(next, after(200)) {
		t.Error("the limit applies to the next incarnation")
	}
	listed := map[Key]bool{next: true}
	table.SetListed(listed, after(1000))
	if !table.IsLimited(upstreamKey) {
		t.Error("the limit is forgotten as soon as the upstream isn't listed")
	}
	table.SetListed(listed, after(1000).Add(unlistedTime+time.Second))
	if !table.IsEmpty() {
		t.Error("the limit of an upstream that is gone is kept")
	}
}

// TestEndOfLimitIsNoticed guards against an upstream that gets nothing, so that nothing tells
// that its limit has ended.
func TestEndOfLimitIsNoticed(t *testing.T) {
	s := newSchedule(5, 4, 0)
	for s.now.Sub(start) < 60*time.Second {
		s.step()
	}
	if most := int(60*minRate) + 4; len(s.sent) == 0 || len(s.sent) > most {
		t.Errorf("%d requests in 60 s to an upstream that wants none, want 1 to %d", len(s.sent), most)
	}
}
