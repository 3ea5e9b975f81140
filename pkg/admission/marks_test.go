package admission

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

var (
	inService = api.Marks{Version: 1}
	domainOut = api.Marks{Version: 2, OutFailureDomains: []string{"fd-a"}}
	inAgain   = api.Marks{Version: 3}
)

// settle is the time that first marks take to settle.
const settle = time.Second

func gateWithMarks(now time.Time) *Gate {
	g := New(Config{
		Upstream: "u", FailureDomain: "fd-a", Incarnation: "i", MarksSettleTime: settle,
		Warmup: warmup.Config{Min: 1, Max: 16, HealthyStep: time.Second, GrowEvery: time.Millisecond},
	})
	g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	return g
}

func admits(g *Gate, id string, now time.Time) bool {
	return g.Admit(&api.AttemptRequest{RequestID: id, Incarnation: "i", DeadlineUnixMilli: now.Add(time.Minute).UnixMilli()}, now).Admitted
}

func TestGateWaitsForTheMarksOfOtherEntries(t *testing.T) {
	now := time.Unix(1, 0)
	observe := func(g *Gate, after time.Duration) {
		now = now.Add(after)
		g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	}
	g := gateWithMarks(now)
	observe(g, settle)
	if admits(g, "1", now) || g.Report().Ready {
		t.Error("work was admitted before any marks")
	}
	g.SetMarks(inService)
	observe(g, settle)
	if admits(g, "2", now) {
		t.Error("work was admitted before the marks of other entries could come")
	}
	observe(g, settle)
	if !admits(g, "3", now) {
		t.Error("work was refused with marks that take nothing out")
	}
	g = gateWithMarks(now)
	g.SetMarks(inService)
	observe(g, settle/2)
	g.SetMarks(domainOut)
	observe(g, 2*settle)
	if admits(g, "4", now) {
		t.Error("marks of an entry that was cut off let work into a failure domain that is out")
	}
}

func TestFailureDomainOutAndInAgain(t *testing.T) {
	now := time.Unix(1, 0)
	g := gateWithMarks(now)
	g.SetMarks(inService)
	g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	now = now.Add(settle)
	g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	for i := range 20 {
		now = now.Add(time.Second)
		for g.Running() < g.Report().Limit {
			if !admits(g, now.String()+string(rune('a'+g.Running())), now) {
				t.Fatal("work was refused below the limit")
			}
		}
		g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
		if i == 19 && g.Report().Limit < 16 {
			t.Fatalf("the limit grew to %d only", g.Report().Limit)
		}
	}
	g.SetMarks(domainOut)
	g.Release()
	if admits(g, "out", now) {
		t.Error("work was admitted in a failure domain that is out")
	}
	g.SetMarks(inService)
	if admits(g, "older", now) {
		t.Error("older marks brought the failure domain in")
	}
	g.SetMarks(inAgain)
	g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	if got := g.Report().Limit; got > 1 {
		t.Errorf("in again, the limit is %d at once", got)
	}
}
