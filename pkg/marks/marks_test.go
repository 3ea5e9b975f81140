package marks

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// history returns marks that are sent within a cluster: one for each table version, with
// some of the provisional marks that existed by then.
func history(r *rand.Rand) []api.Marks {
	var all []api.Marks
	var settled []string
	for version := range uint64(6) {
		m := api.Marks{Version: version}
		if r.IntN(2) == 0 {
			m.OutFailureDomains = []string{fmt.Sprint("fd-", r.IntN(3))}
		}
		if r.IntN(2) == 0 && version > 0 {
			settled = append(settled, fmt.Sprint("mark-", r.IntN(int(version))))
		}
		m.Settled = append([]string(nil), settled...)
		for range r.IntN(3) {
			id := r.IntN(int(version) + 1)
			m.Provisional = append(m.Provisional, api.ProvisionalMark{ID: fmt.Sprint("mark-", id), FailureDomain: fmt.Sprint("fd-", id%3)})
		}
		all = append(all, m)
	}
	return all
}

// checkOrders merges the same marks in two orders, one with duplicates, and returns a
// description of the first difference, or "".
func checkOrders(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 0))
	sent := history(r)
	var a, b Set
	for _, i := range r.Perm(len(sent)) {
		a.Merge(sent[i])
	}
	for _, i := range append(r.Perm(len(sent)), r.Perm(len(sent))...) {
		before := b.Marks().Version
		b.Merge(sent[i])
		if b.Marks().Version < before {
			return "the version decreased"
		}
	}
	if fmt.Sprint(a.Marks()) != fmt.Sprint(b.Marks()) {
		return fmt.Sprintf("the same marks merged to %v and to %v", a.Marks(), b.Marks())
	}
	for _, p := range a.Marks().Provisional {
		if !a.IsFailureDomainOut(p.FailureDomain) {
			return p.FailureDomain + " is in service despite a provisional mark"
		}
	}
	return ""
}

// TestMergeIsIndependentOfOrder checks that processes which received the same marks, in
// different orders and with duplicates, hold the same set.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 10_000
	properties := gopter.NewProperties(parameters)
	properties.Property("merging the same marks in any order gives the same set", prop.ForAll(checkOrders, gen.UInt64()))
	properties.TestingRun(t)
}

// TestProvisionalMarkAppliesUntilSettled checks that a provisional mark applies until the
// table contains it, and that a late copy of it does not apply again after the failure
// domain returned to service.
func TestProvisionalMarkAppliesUntilSettled(t *testing.T) {
	out := api.ProvisionalMark{ID: "1", FailureDomain: "fd-a"}
	var s Set
	steps := []struct {
		name string
		m    api.Marks
		out  bool
	}{
		{"a table without marks", api.Marks{Version: 1}, false},
		{"a provisional mark", api.Marks{Provisional: []api.ProvisionalMark{out}}, true},
		{"a newer table without the mark", api.Marks{Version: 2}, true},
		{"a table with the mark written", api.Marks{Version: 3, OutFailureDomains: []string{"fd-a"}, Settled: []string{"1"}}, true},
		{"the return of the failure domain to service", api.Marks{Version: 4, Settled: []string{"1"}}, false},
		{"the same mark from a host that was cut off", api.Marks{Version: 2, Provisional: []api.ProvisionalMark{out}}, false},
	}
	for _, step := range steps {
		s.Merge(step.m)
		if got := s.IsFailureDomainOut("fd-a"); got != step.out {
			t.Errorf("after %s: out of service is %t", step.name, got)
		}
	}
	if want := uint64(4); s.Marks().Version != want || !reflect.DeepEqual(s.Marks().Settled, []string{"1"}) {
		t.Errorf("marks are %v, want version 4 with mark 1 settled", s.Marks())
	}
}
