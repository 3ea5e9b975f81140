package reachability

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestCutOffNeedsSeveralUnreachableUpstreams checks that a single failing upstream doesn't
// count as a cut-off of the entry.
func TestCutOffNeedsSeveralUnreachableUpstreams(t *testing.T) {
	d := New()
	d.RecordResponse(t0)
	at := t0.Add(minSilence)
	for range 10 {
		d.RecordFailure("a", at)
	}
	if _, cutOff := d.CutOffSince(); cutOff || !d.IsSuspected() {
		t.Fatalf("one upstream unreachable: cut off %v, suspected %v", cutOff, d.IsSuspected())
	}
	d.RecordFailure("b", at)
	if since, cutOff := d.CutOffSince(); !cutOff || !since.Equal(at) {
		t.Fatalf("two upstreams unreachable: cut off %v since %v", cutOff, since)
	}
	d.RecordFailure("c", at.Add(time.Second))
	if since, _ := d.CutOffSince(); !since.Equal(at) {
		t.Errorf("cut off since %v, want the time of the first detection", since)
	}
	d.RecordResponse(at.Add(2 * time.Second))
	if _, cutOff := d.CutOffSince(); cutOff || d.IsSuspected() {
		t.Error("cut off or suspected after a response")
	}
}

// TestRecentResponsePreventsCutOff checks that an entry stays in service while any
// upstream responds.
func TestRecentResponsePreventsCutOff(t *testing.T) {
	d := New()
	d.RecordResponse(t0)
	for _, name := range []string{"a", "b", "c"} {
		d.RecordFailure(name, t0.Add(minSilence/2))
	}
	if _, cutOff := d.CutOffSince(); cutOff {
		t.Error("cut off although an upstream has just responded")
	}
}
