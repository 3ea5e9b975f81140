package decisionlog

import (
	"testing"
	"time"
)

// BenchmarkAdd measures adding a decision to a full log.
func BenchmarkAdd(b *testing.B) {
	l := New("entry-0", 20000)
	d := Decision{RequestID: "9f1c2a40-0d57-4a55-8a61-5a1d3c1f7b10", At: time.Unix(0, 0), Action: "send an attempt", Reason: "the upstream has room", Upstream: "draft-0"}
	b.ReportAllocs()
	for b.Loop() {
		l.Add(d)
	}
}

// BenchmarkForRequest measures finding the decisions about a request in a full log.
func BenchmarkForRequest(b *testing.B) {
	l := New("entry-0", 20000)
	for range 20000 {
		l.Add(Decision{RequestID: "another"})
	}
	for b.Loop() {
		l.ForRequest("9f1c2a40-0d57-4a55-8a61-5a1d3c1f7b10")
	}
}
