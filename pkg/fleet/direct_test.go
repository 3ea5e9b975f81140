package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/dispatch"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

func plainUpstreams(n int) []dispatch.Upstream {
	list := make([]dispatch.Upstream, n)
	for i := range list {
		list[i] = dispatch.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Service: "desk", Incarnation: "1", Slots: 4}
	}
	return list
}

// newDirect returns a view of plain upstreams with the given probe.
func newDirect(n int, probe func(address string) error) *Direct {
	f := NewDirect(dispatch.Config{MaxQueueTime: time.Second, ColdFactor: 1, ColdSlack: 100},
		func(_ context.Context, address string) error { return probe(address) }, http.DefaultClient)
	f.SetIndex(table.NewIndex(&table.Table{Services: []table.Service{{Name: "desk", Kind: table.KindPlain}}}))
	f.SetLimitDivisor(1)
	f.SetUpstreams(plainUpstreams(n))
	return f
}

func acquire(t *testing.T, f *Direct, id string, tried ...string) Upstream {
	t.Helper()
	u, err := f.Acquire(t.Context(), scheduler.Request{
		ID: id, Service: "desk", Organisation: "o", Weight: 1, Deadline: time.Now().Add(time.Second), TriedUpstreams: tried,
	})
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// TestFailuresAtOneUpstreamAreNoCutOff checks that the entry does not consider itself cut
// off after failures at a single upstream, however many there are.
func TestFailuresAtOneUpstreamAreNoCutOff(t *testing.T) {
	f := newDirect(2, func(string) error { return nil })
	for i := range 4 {
		acquire(t, f, fmt.Sprint("r", i), "u1")
	}
	for i := range 4 {
		f.Release(fmt.Sprint("r", i), problem.ReasonUpstreamUnreachable)
	}
	if f.IsCutOff() {
		t.Fatal("cut off after failures at one of two upstreams")
	}
}

// TestCutOffRefusesRequests checks that all requests are refused with a retry delay while
// no upstream is reachable, and dispatched again after the next response.
func TestCutOffRefusesRequests(t *testing.T) {
	f := newDirect(2, func(string) error { return nil })
	acquire(t, f, "a", "u1")
	entryCutOff := acquire(t, f, "b", "u0").EntryCutOff
	f.Release("a", problem.ReasonUpstreamUnreachable)
	f.Release("b", problem.ReasonUpstreamUnreachable)
	if !f.IsCutOff() {
		t.Fatal("not cut off with both upstreams unreachable")
	}
	select {
	case <-entryCutOff:
	default:
		t.Error("running attempts are not notified")
	}
	_, err := f.Acquire(t.Context(), scheduler.Request{ID: "c", Service: "desk", Organisation: "o", Weight: 1, Deadline: time.Now().Add(time.Second)})
	var p *problem.Problem
	if !asProblem(err, &p) || p.Reason != problem.ReasonEntryCutOff || p.RetryAfter < minRetryAfter || p.RetryAfter > redirectTime {
		t.Fatalf("refused as %+v", err)
	}
	f.mu.Lock()
	f.recordReachability("u0", true, time.Now())
	f.mu.Unlock()
	if f.IsCutOff() {
		t.Error("still cut off after a response")
	}
}

func asProblem(err error, p **problem.Problem) bool {
	got, ok := err.(*problem.Problem)
	*p = got
	return ok
}

// TestUpstreamChanges checks the kinds of change between two lists.
func TestUpstreamChanges(t *testing.T) {
	before, after := plainUpstreams(3), plainUpstreams(4)[1:]
	after[0].Draining = true
	after[1].Incarnation = "2"
	byID := func(list []dispatch.Upstream) map[string]dispatch.Upstream {
		out := make(map[string]dispatch.Upstream)
		for _, u := range list {
			out[u.ID] = u
		}
		return out
	}
	got := upstreamChanges(byID(before), byID(after))
	for change, id := range map[string]string{"removed": "u0", "leaving": "u1", "restarted": "u2", "added": "u3"} {
		if !slices.Equal(got[change], []string{id}) {
			t.Errorf("%s: %v, want %s", change, got[change], id)
		}
	}
}
