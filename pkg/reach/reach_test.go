package reach

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestCutOffNeedsSeveralSilentUpstreams tells a failing upstream from a cut entry.
func TestCutOffNeedsSeveralSilentUpstreams(t *testing.T) {
	w := New()
	w.Heard(t0)
	at := t0.Add(quiet)
	for range 10 {
		w.Failed("a", at)
	}
	if _, cut := w.CutOff(); cut || !w.Doubtful() {
		t.Fatalf("one upstream out of reach: cut off %v, doubtful %v", cut, w.Doubtful())
	}
	w.Failed("b", at)
	if since, cut := w.CutOff(); !cut || !since.Equal(at) {
		t.Fatalf("two upstreams out of reach: cut off %v since %v", cut, since)
	}
	w.Failed("c", at.Add(time.Second))
	if since, _ := w.CutOff(); !since.Equal(at) {
		t.Errorf("cut off since %v, want the first moment", since)
	}
	w.Heard(at.Add(2 * time.Second))
	if _, cut := w.CutOff(); cut || w.Doubtful() {
		t.Error("in doubt after a sign of life")
	}
}

// TestRecentLifeOutweighsFailures keeps an entry in service while any upstream
// answers.
func TestRecentLifeOutweighsFailures(t *testing.T) {
	w := New()
	w.Heard(t0)
	for _, name := range []string{"a", "b", "c"} {
		w.Failed(name, t0.Add(quiet/2))
	}
	if _, cut := w.CutOff(); cut {
		t.Error("cut off though an upstream has just answered")
	}
}
