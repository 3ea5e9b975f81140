package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// TestViewConverges loses, repeats and reorders answers at random, with many
// organisations, and checks that the entry ends with exactly the work that came
// through the other entry.
func TestViewConverges(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("the view holds each cost once", prop.ForAll(func(seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(0, 0)
		agent, view := NewCounter(), NewView()
		want, got := map[string]float64{}, map[string]float64{}
		var inTransit []api.Report
		sequence := uint64(0)
		ask := func() api.Report {
			sequence++
			_, seen := view.Cursor("u")
			return api.Report{Upstream: "u", Incarnation: "i", Sequence: sequence, Shares: agent.Report("mine", seen, now)}
		}
		merge := func(report api.Report) {
			for _, c := range view.Merge(&report, now) {
				got[c.Organisation] += c.Cost
			}
		}
		merge(ask())
		for range 300 {
			now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
			organisation := fmt.Sprintf("org-%d", r.IntN(3*MaxRows))
			cost := float64(r.IntN(100)) - 20
			if r.IntN(2) == 0 {
				agent.Add(organisation, "mine", 1, cost, now)
			} else {
				agent.Add(organisation, "other", 1, cost, now)
				want[organisation] += cost
			}
			inTransit = append(inTransit, ask())
			i := r.IntN(len(inTransit))
			if r.IntN(3) > 0 {
				merge(inTransit[i])
			}
		}
		for range 4 {
			merge(ask())
		}
		for organisation, cost := range want {
			if math.Abs(got[organisation]-cost) > 1e-6 {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestBaselineIsNotCharged checks that an entry that starts late isn't charged
// for history, also when the history needs several answers, and that an agent's
// restart is charged from 0.
func TestBaselineIsNotCharged(t *testing.T) {
	now := time.Unix(0, 0)
	agent, view := NewCounter(), NewView()
	for i := range 2 * MaxRows {
		agent.Add(fmt.Sprintf("org-%d", i), "other", 1, 100, now)
	}
	for sequence := uint64(1); sequence <= 3; sequence++ {
		_, seen := view.Cursor("u")
		charges := view.Merge(&api.Report{Upstream: "u", Incarnation: "a", Sequence: sequence, Shares: agent.Report("mine", seen, now)}, now)
		if len(charges) > 0 {
			t.Fatalf("answer %d charged %v", sequence, charges[0])
		}
	}
	restarted := NewCounter()
	restarted.Add("org-1", "other", 1, 30, now)
	charges := view.Merge(&api.Report{Upstream: "u", Incarnation: "b", Sequence: 1, Shares: restarted.Report("mine", 0, now)}, now)
	if len(charges) != 1 || charges[0].Cost != 30 {
		t.Fatalf("after the restart: %v", charges)
	}
}

// TestRowsAreBounded checks the memory of both sides at 38,000 organisations.
func TestRowsAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	agent, view := NewCounter(), NewView()
	for i := range 38_000 {
		agent.Add(fmt.Sprintf("org-%d", i), "other", 1, 1, now)
	}
	report := api.Report{Upstream: "u", Incarnation: "i", Sequence: 1, Shares: agent.Report("mine", 0, now)}
	view.Merge(&report, now)
	if len(report.Shares.Rows) != MaxRows || view.Len() != MaxRows {
		t.Fatalf("%d rows in an answer, %d in the view", len(report.Shares.Rows), view.Len())
	}
	now = now.Add(3 * idle)
	report = api.Report{Upstream: "u", Incarnation: "i", Sequence: 2, Shares: agent.Report("mine", 0, now)}
	view.Merge(&report, now)
	if agent.Len() != 0 || view.Len() != 0 {
		t.Fatalf("idle rows are kept: %d and %d", agent.Len(), view.Len())
	}
}
