package quarantine

import (
	"slices"
	"testing"
	"time"
)

var t0 = time.Unix(1700000000, 0)

var (
	keyA = UpstreamKey{ID: "a", Incarnation: "1"}
	keyB = UpstreamKey{ID: "b", Incarnation: "1"}
)

// start records an attempt at an upstream, with the given number of parts of its response.
func start(d *LossDetector, id string, key UpstreamKey, received int, at time.Time, parts ...string) {
	d.RecordStart(Attempt{ID: id, RequestID: id, Organisation: "o", Parts: parts, Upstream: Upstream{UpstreamKey: key, Service: "m"}, SentAt: at})
	for range received {
		d.RecordPart(id, at)
	}
}

func ids(attempts []Attempt) []string {
	var out []string
	for _, a := range attempts {
		out = append(out, a.ID)
	}
	return out
}

func TestLossListsAttemptsThatHadNotBegun(t *testing.T) {
	d := NewLossDetector()
	start(d, "begun", keyA, 2, t0)
	start(d, "first part only", keyA, 1, t0.Add(10*time.Millisecond), "p")
	start(d, "waiting", keyA, 0, t0.Add(20*time.Millisecond), "p", "q")
	start(d, "elsewhere", keyB, 0, t0)
	now := t0.Add(100 * time.Millisecond)
	d.RecordEnd("begun", true, now)
	d.RecordEnd("first part only", true, now)
	loss := d.Confirm(keyA, LossRefused, now.Add(time.Millisecond))
	if loss == nil || !slices.Equal(ids(loss.Unbegun), []string{"first part only", "waiting"}) || loss.Begun != 1 || loss.RecentlySent != 3 || !loss.NoticedAt.Equal(now) {
		t.Fatalf("%+v", loss)
	}
	d.RecordEnd("waiting", true, now.Add(2*time.Millisecond))
	if again := d.Confirm(keyA, LossRefused, now.Add(3*time.Millisecond)); again != nil {
		t.Errorf("the loss is returned a second time: %+v", again)
	}
}

// TestBrokenConnectionIsNoLoss guards against counting every broken connection as the end
// of an upstream, and against blaming attempts of an earlier break for a later end.
func TestBrokenConnectionIsNoLoss(t *testing.T) {
	d := NewLossDetector()
	start(d, "old", keyA, 0, t0, "p")
	d.RecordEnd("old", true, t0)
	d.RecordReachable(keyA)
	start(d, "new", keyA, 0, t0.Add(time.Second), "q")
	d.RecordEnd("new", true, t0.Add(time.Second))
	loss := d.Confirm(keyA, LossRefused, t0.Add(time.Second))
	if loss == nil || !slices.Equal(ids(loss.Unbegun), []string{"new"}) {
		t.Fatalf("%+v", loss)
	}
	start(d, "complete", keyB, 0, t0)
	d.RecordEnd("complete", false, t0)
	if loss := d.Confirm(keyB, LossRefused, t0); loss != nil {
		t.Errorf("%+v although no attempt broke off", loss)
	}
}

func TestAnnouncedEndIsNoLoss(t *testing.T) {
	d := NewLossDetector()
	d.SetListed(map[UpstreamKey]bool{keyA: true, keyB: false}, t0)
	for _, key := range []UpstreamKey{keyA, keyB} {
		start(d, key.ID, key, 0, t0)
		d.RecordEnd(key.ID, true, t0)
	}
	if loss := d.Confirm(keyA, LossRefused, t0); loss != nil {
		t.Errorf("%+v although the upstream was leaving", loss)
	}
	if loss := d.Confirm(keyB, LossRefused, t0); loss == nil {
		t.Error("no loss")
	}
}

// TestRestartUnderTheSameIDIsLoss covers an upstream that restarts at once, so that its
// address always takes connections.
func TestRestartUnderTheSameIDIsLoss(t *testing.T) {
	d := NewLossDetector()
	d.SetListed(map[UpstreamKey]bool{keyA: false}, t0)
	start(d, "r", keyA, 0, t0)
	d.RecordEnd("r", true, t0)
	d.RecordReachable(keyA)
	losses := d.SetListed(map[UpstreamKey]bool{{ID: "a", Incarnation: "2"}: false}, t0.Add(2*time.Second))
	if len(losses) != 1 || losses[0].Upstream.UpstreamKey != keyA || losses[0].Evidence != LossRestarted {
		t.Fatalf("%+v", losses)
	}
}

// TestUnlistedUpstreamIsNoCrash covers upstreams that were replaced or cut off: a broken
// attempt and a missing registration don't show that a request has ended the upstream.
func TestUnlistedUpstreamIsNoCrash(t *testing.T) {
	d := NewLossDetector()
	for _, key := range []UpstreamKey{keyA, keyB} {
		start(d, key.ID, key, 0, t0)
		d.RecordEnd(key.ID, true, t0)
	}
	d.RecordReachable(keyA)
	losses := d.SetListed(nil, t0.Add(time.Second))
	if len(losses) != 1 || losses[0].Upstream.UpstreamKey != keyB || losses[0].Evidence.isCrash() {
		t.Errorf("%+v, want only the unreachable upstream, and that not as a crash", losses)
	}
}

// TestDetectorForgets checks that suspicions and counts don't accumulate.
func TestDetectorForgets(t *testing.T) {
	d := NewLossDetector()
	for i := range 100 {
		key := UpstreamKey{ID: "a", Incarnation: string(rune('0' + i))}
		start(d, "r", key, 0, t0)
		d.RecordEnd("r", true, t0)
	}
	d.SetListed(nil, t0.Add(time.Minute))
	if len(d.suspects)+len(d.sends)+len(d.attempts) > 0 {
		t.Errorf("%d suspects, %d counters, %d attempts are left", len(d.suspects), len(d.sends), len(d.attempts))
	}
}
