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

// newDirect returns a view of plain upstreams, whose probes do what is asked.
func newDirect(n int, probe func(address string) error) *Direct {
	f := NewDirect(dispatch.Config{MaxWait: time.Second, ColdFactor: 1, ColdExtra: 100},
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

// TestOneDeadUpstreamIsNoCut fails requests at one upstream only: the entry must not
// say that it is cut off, whatever their number.
func TestOneDeadUpstreamIsNoCut(t *testing.T) {
	f := newDirect(2, func(string) error { return nil })
	for i := range 4 {
		acquire(t, f, fmt.Sprint("r", i), "u1")
	}
	for i := range 4 {
		f.Release(fmt.Sprint("r", i), problem.ReasonUpstreamUnreachable)
	}
	if f.CutOff() {
		t.Fatal("cut off after failures at one of two upstreams")
	}
}

// TestCutOffRefusesAtOnce loses all upstreams: what waits and what comes is refused
// with a time to come back, and the next sign of life lets callers in again.
func TestCutOffRefusesAtOnce(t *testing.T) {
	f := newDirect(2, func(string) error { return nil })
	acquire(t, f, "a", "u1")
	lost := acquire(t, f, "b", "u0").EntryCutOff
	f.Release("a", problem.ReasonUpstreamUnreachable)
	f.Release("b", problem.ReasonUpstreamUnreachable)
	if !f.CutOff() {
		t.Fatal("not cut off with both upstreams out of reach")
	}
	select {
	case <-lost:
	default:
		t.Error("attempts under way are not told")
	}
	_, err := f.Acquire(t.Context(), scheduler.Request{ID: "c", Service: "desk", Organisation: "o", Weight: 1, Deadline: time.Now().Add(time.Second)})
	var p *problem.Problem
	if !asProblem(err, &p) || p.Reason != problem.ReasonEntryCutOff || p.RetryAfter < leastReturn || p.RetryAfter > rotation {
		t.Fatalf("refused as %+v", err)
	}
	f.mu.Lock()
	f.reached("u0", true, time.Now())
	f.mu.Unlock()
	if f.CutOff() {
		t.Error("still cut off after a sign of life")
	}
}

func asProblem(err error, p **problem.Problem) bool {
	got, ok := err.(*problem.Problem)
	*p = got
	return ok
}

// TestUpstreamChanges names what changed between two lists.
func TestUpstreamChanges(t *testing.T) {
	before, after := plainUpstreams(3), plainUpstreams(4)[1:]
	after[0].Leaving = true
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
