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

// TestViewConverges loses, repeats and reorders reports at random, with many
// organisations, and checks that the charges add up to exactly the work that came
// through the other entry.
func TestViewConverges(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("each cost is charged once", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(0, 0)
		counter, view := NewCounter(), NewView()
		want, got := map[string]float64{}, map[string]float64{}
		var inTransit []api.Report
		sequence := uint64(0)
		report := func() api.Report {
			sequence++
			_, cursor := view.Cursor("u")
			return api.Report{Upstream: "u", Incarnation: "i", Sequence: sequence, Shares: counter.Report("mine", cursor, now)}
		}
		merge := func(r api.Report) {
			for _, c := range view.Merge(&r, now) {
				got[c.Organisation] += c.Cost
			}
		}
		merge(report())
		for range 300 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			organisation := fmt.Sprintf("org-%d", random.IntN(3*MaxRows))
			cost := float64(random.IntN(100)) - 20
			if random.IntN(2) == 0 {
				counter.Add(organisation, "mine", 1, cost, now)
			} else {
				counter.Add(organisation, "other", 1, cost, now)
				want[organisation] += cost
			}
			inTransit = append(inTransit, report())
			i := random.IntN(len(inTransit))
			if random.IntN(3) > 0 {
				merge(inTransit[i])
			}
		}
		for range 4 {
			merge(report())
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

// TestBaselineIsNotCharged checks that an entry that starts later than an agent does
// not charge the agent's earlier work, also when it takes several reports to receive
// all rows, and that an agent's counters are charged from 0 after its restart.
func TestBaselineIsNotCharged(t *testing.T) {
	now := time.Unix(0, 0)
	counter, view := NewCounter(), NewView()
	for i := range 2 * MaxRows {
		counter.Add(fmt.Sprintf("org-%d", i), "other", 1, 100, now)
	}
	for sequence := uint64(1); sequence <= 3; sequence++ {
		_, cursor := view.Cursor("u")
		charges := view.Merge(&api.Report{Upstream: "u", Incarnation: "a", Sequence: sequence, Shares: counter.Report("mine", cursor, now)}, now)
		if len(charges) > 0 {
			t.Fatalf("report %d: charged %v, want no charge", sequence, charges[0])
		}
	}
	restarted := NewCounter()
	restarted.Add("org-1", "other", 1, 30, now)
	charges := view.Merge(&api.Report{Upstream: "u", Incarnation: "b", Sequence: 1, Shares: restarted.Report("mine", 0, now)}, now)
	if len(charges) != 1 || charges[0].Cost != 30 {
		t.Fatalf("after the restart: charged %v, want one charge of 30", charges)
	}
}

// TestRowsAreBounded checks that a report has at most MaxRows of 38,000
// organisations, and that the counter and the view remove idle rows.
func TestRowsAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	counter, view := NewCounter(), NewView()
	for i := range 38_000 {
		counter.Add(fmt.Sprintf("org-%d", i), "other", 1, 1, now)
	}
	report := api.Report{Upstream: "u", Incarnation: "i", Sequence: 1, Shares: counter.Report("mine", 0, now)}
	view.Merge(&report, now)
	if len(report.Shares.Rows) != MaxRows || view.Len() != MaxRows {
		t.Fatalf("%d rows in a report and %d in the view, want MaxRows", len(report.Shares.Rows), view.Len())
	}
	now = now.Add(3 * idleTimeout)
	report = api.Report{Upstream: "u", Incarnation: "i", Sequence: 2, Shares: counter.Report("mine", 0, now)}
	view.Merge(&report, now)
	if counter.Len() != 0 || view.Len() != 0 {
		t.Fatalf("%d idle rows in the counter and %d in the view, want none", counter.Len(), view.Len())
	}
}
