package reachability

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestCutOffNeedsSeveralSilentUpstreams tells a failing upstream from a cut entry.
func TestCutOffNeedsSeveralSilentUpstreams(t *testing.T) {
	w := New()
	w.RecordResponse(t0)
	at := t0.Add(quiet)
	for range 10 {
		w.RecordFailure("a", at)
	}
	if _, cut := w.CutOffSince(); cut || !w.IsSuspected() {
		t.Fatalf("one upstream out of reach: cut off %v, doubtful %v", cut, w.IsSuspected())
	}
	w.RecordFailure("b", at)
	if since, cut := w.CutOffSince(); !cut || !since.Equal(at) {
		t.Fatalf("two upstreams out of reach: cut off %v since %v", cut, since)
	}
	w.RecordFailure("c", at.Add(time.Second))
	if since, _ := w.CutOffSince(); !since.Equal(at) {
		t.Errorf("cut off since %v, want the first moment", since)
	}
	w.RecordResponse(at.Add(2 * time.Second))
	if _, cut := w.CutOffSince(); cut || w.IsSuspected() {
		t.Error("in doubt after a sign of life")
	}
}

// TestRecentLifeOutweighsFailures keeps an entry in service while any upstream
// answers.
func TestRecentLifeOutweighsFailures(t *testing.T) {
	w := New()
	w.RecordResponse(t0)
	for _, name := range []string{"a", "b", "c"} {
		w.RecordFailure(name, t0.Add(quiet/2))
	}
	if _, cut := w.CutOffSince(); cut {
		t.Error("cut off though an upstream has just answered")
	}
}
