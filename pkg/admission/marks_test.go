package admission

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

var (
	inService      = api.Marks{Version: 1}
	domainOut      = api.Marks{Version: 2, OutFailureDomains: []string{"fd-a"}}
	inServiceAgain = api.Marks{Version: 3}
)

const settleTime = time.Second

func gateWithMarks(now time.Time) *Gate {
	g := New(Config{
		Upstream: "u", FailureDomain: "fd-a", Incarnation: "i", MarksSettleTime: settleTime,
		Warmup: warmup.Config{Min: 1, Max: 16, HealthyStep: time.Second, MinGrowInterval: time.Millisecond},
	})
	g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	return g
}

func admits(g *Gate, id string, now time.Time) bool {
	return g.Admit(&api.AttemptRequest{RequestID: id, Incarnation: "i", DeadlineUnixMilli: now.Add(time.Minute).UnixMilli()}, now).Admitted
}

// TestGateWaitsForMarksToSettle guards against an agent that restarts in a failure
// domain that is out of service, receives its first marks from an entry that is cut off
// and has old marks, and admits work before other entries report the newer marks.
func TestGateWaitsForMarksToSettle(t *testing.T) {
	now := time.Unix(1, 0)
	observe := func(g *Gate, after time.Duration) {
		now = now.Add(after)
		g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	}
	g := gateWithMarks(now)
	observe(g, settleTime)
	if admits(g, "1", now) || g.Report().Ready {
		t.Error("work was admitted before the gate had marks")
	}
	g.SetMarks(inService)
	observe(g, settleTime)
	if admits(g, "2", now) {
		t.Error("work was admitted before the marks had settled")
	}
	observe(g, settleTime)
	if !admits(g, "3", now) {
		t.Error("work was refused although settled marks have the upstream in service")
	}
	g = gateWithMarks(now)
	g.SetMarks(inService)
	observe(g, settleTime/2)
	g.SetMarks(domainOut)
	observe(g, 2*settleTime)
	if admits(g, "4", now) {
		t.Error("work was admitted in a failure domain that newer marks have taken out of service")
	}
}

// TestFailureDomainReturnsToService checks that older marks don't return a failure domain
// to service, and that its upstreams then start at the lowest limit.
func TestFailureDomainReturnsToService(t *testing.T) {
	now := time.Unix(1, 0)
	g := gateWithMarks(now)
	g.SetMarks(inService)
	g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	now = now.Add(settleTime)
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
			t.Fatalf("the limit is %d, want at least 16", g.Report().Limit)
		}
	}
	g.SetMarks(domainOut)
	g.Release()
	if admits(g, "out", now) {
		t.Error("work was admitted in a failure domain that is out of service")
	}
	g.SetMarks(inService)
	if admits(g, "older", now) {
		t.Error("older marks returned the failure domain to service")
	}
	g.SetMarks(inServiceAgain)
	g.Observe(warmup.Sample{Incarnation: "e"}, 1, now)
	if got := g.Report().Limit; got > 1 {
		t.Errorf("the limit is %d right after the return to service, want at most 1", got)
	}
}
