package quarantine

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzReports merges any two reports that an entry may receive, in both orders. Both must
// leave the same knowledge, within the limits.
func FuzzReports(f *testing.F) {
	f.Add([]byte(`{"upstream":"u","incarnation":"1","service":"m","age_ms":9,"candidates":{"p":{"organisations":["o"],"coincidence":0.1}},"observations":{"e":{"unbegun":1,"sampled":30}}}`),
		[]byte(`{"upstream":"u","incarnation":"1","service":"m","age_ms":20,"candidates":{"p":{"since":["o"]},"q":{"organisations":["x","x"]}},"observations":{"e":{"unbegun":-1,"sampled":-9,"new_parts":["b","a"]}}}`))
	f.Add([]byte(`{"upstream":"u","service":"m","group":"g","epoch":3,"candidates":{"p":{"coincidence":-1},"":{}}}`),
		[]byte(`{"upstream":"v","service":"m","group":"g","epoch":3,"candidates":{"p":{"before":["b","a"],"coincidence":9}}}`))
	f.Fuzz(func(t *testing.T, rawA, rawB []byte) {
		var a, b Report
		if json.Unmarshal(rawA, &a) != nil || json.Unmarshal(rawB, &b) != nil {
			return
		}
		if a.Upstream == b.Upstream && a.Incarnation == b.Incarnation {
			// Entries take these from the platform's list.
			b.Service, b.Group = a.Service, a.Group
		}
		now := time.Unix(1_800_000_000, 0)
		first, second := New("e1", 1), New("e2", 2)
		for _, err := range []error{first.Merge(&a, now), first.Merge(&b, now), second.Merge(&b, now), second.Merge(&a, now)} {
			if err != nil {
				return
			}
		}
		if first.Digest() != second.Digest() && isWithinLimits(&a, &b) {
			t.Errorf("%+v in one order, %+v in the other", first.Reports(now), second.Reports(now))
		}
		for _, r := range first.Reports(now) {
			if len(r.Candidates) > maxCandidates || len(r.Observations) > maxObservations {
				t.Errorf("%d candidates, %d observations", len(r.Candidates), len(r.Observations))
			}
			for part, c := range r.Candidates {
				if v := first.Check(r.Service, "o", []string{part}, now); c.isRefuted() && v.Action != ActionPass {
					t.Errorf("part %q is refuted and has verdict %+v", part, v)
				}
			}
		}
		if first.Sweep(now.Add(2 * recordLifetime)); len(first.index)+len(first.records) > 0 {
			t.Error("something is left after the lifetime of reports")
		}
	})
}

// isWithinLimits reports whether the merged reports keep everything.
func isWithinLimits(a, b *Report) bool {
	lists := 0
	for _, r := range []*Report{a, b} {
		for _, c := range r.Candidates {
			lists = max(lists, len(c.Organisations), len(c.Before), len(c.Since))
		}
		for _, o := range r.Observations {
			lists = max(lists, len(o.NewParts), len(o.KnownParts))
		}
	}
	return len(a.Candidates)+len(b.Candidates) <= maxCandidates && len(a.Observations)+len(b.Observations) <= maxObservations && 2*lists <= maxNamed
}
