package lockstep

import "testing"

// TestQueriesOfUnknownRanksAreNotKept guards against a client that makes an agent keep counts for
// as many ranks as it names in its queries.
func TestQueriesOfUnknownRanksAreNotKept(t *testing.T) {
	const queries, maxKept = 1000, 100
	a := New(Config{Engine: fakeEngine{}})
	for rank := range queries {
		a.queryOwnRank(t.Context(), &query{From: Membership{Group: "g", Epoch: 1, Rank: rank, Ranks: 2}, Picks: true})
	}
	if n := len(a.lastCounts); n > maxKept {
		t.Errorf("counts are kept for %d ranks, want at most %d", n, maxKept)
	}
}
