package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func newCluster(entries, upstreams, domains int) ([]string, []Upstream) {
	es, us := make([]string, entries), make([]Upstream, upstreams)
	for i := range es {
		es[i] = fmt.Sprintf("entry-%d", i)
	}
	for i := range us {
		us[i] = Upstream{Name: fmt.Sprintf("upstream-%d", i), FailureDomain: fmt.Sprintf("fd-%d", i%domains)}
	}
	return es, us
}

func chooseAll(entries []string, upstreams []Upstream, size int) map[string][]string {
	all := make(map[string][]string)
	for _, e := range entries {
		all[e] = Choose(e, entries, upstreams, size)
		slices.Sort(all[e])
	}
	return all
}

// TestChooseBalances checks that each entry gets size distinct upstreams and that all
// upstreams are assigned to about the same number of entries, wantMin to wantMax.
func TestChooseBalances(t *testing.T) {
	for _, tc := range []struct{ entries, upstreams, domains, size, wantMin, wantMax int }{
		{4, 12, 3, 6, 1, 3},
		{40, 60, 6, 12, 6, 10},
		{40, 60, 6, 0, 40, 40},
		{40, 61, 6, 13, 5, 10},
	} {
		entries, upstreams := newCluster(tc.entries, tc.upstreams, tc.domains)
		assigned := make(map[string]int)
		for _, names := range chooseAll(entries, upstreams, tc.size) {
			if tc.size > 0 && len(slices.Compact(names)) != tc.size {
				t.Errorf("%+v: %d distinct upstreams", tc, len(names))
			}
			for _, n := range names {
				assigned[n]++
			}
		}
		for _, u := range upstreams {
			if n := assigned[u.Name]; n < tc.wantMin || n > tc.wantMax {
				t.Errorf("%+v: %s is assigned to %d entries", tc, u.Name, n)
			}
		}
	}
}

func TestChooseIgnoresOrder(t *testing.T) {
	entries, upstreams := newCluster(9, 30, 4)
	want := chooseAll(entries, upstreams, 7)
	r := rand.New(rand.NewPCG(1, 2))
	r.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	r.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	for e, names := range chooseAll(entries, upstreams, 7) {
		if !slices.Equal(names, want[e]) {
			t.Errorf("%s gets %v, want %v", e, names, want[e])
		}
	}
}

// BenchmarkChoose measures one entry's choice at the size that is expected in two
// years.
func BenchmarkChoose(b *testing.B) {
	entries, upstreams := newCluster(330, 630, 6)
	for b.Loop() {
		Choose(entries[0], entries, upstreams, 18)
	}
}
