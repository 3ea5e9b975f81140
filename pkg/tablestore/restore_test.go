package tablestore

import (
	"maps"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
)

// TestTableIsWrittenAgainAfterRestore guards against a table that no operator can change, and
// that entries lose when they restart, because the store has come back from a copy with an
// older one.
func TestTableIsWrittenAgainAfterRestore(t *testing.T) {
	f := newFake()
	first, second := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout}), New(f, Config{Entry: "b", WatchTimeout: WatchTimeout})
	change(t, first, func(d *Draft) { d.Organisations = organisations(3) })
	copied := maps.Clone(f.stored)
	change(t, first, func(d *Draft) { d.Organisations[1].Weight = 9 })
	pull(t, first, second)
	inForce := first.replica.Head().Version
	for name, stored := range map[string]map[string]objects.Object{"older table": copied, "no table": {}} {
		f.withLock(func() { f.stored = maps.Clone(stored) })
		written, err := second.writeLost(t.Context())
		if err != nil || written != inForce {
			t.Fatalf("%s: wrote version %d, %v, want %d", name, written, err, inForce)
		}
		if written, err := first.writeLost(t.Context()); err != nil || written != 0 {
			t.Errorf("%s: another entry wrote version %d, %v, want nothing", name, written, err)
		}
		got := change(t, New(f, Config{Entry: "new", WatchTimeout: WatchTimeout}), func(*Draft) {})
		if got.Version != inForce || got.Organisations[1].Weight != 9 {
			t.Errorf("%s: an entry that starts reads version %d with weight %d", name, got.Version, got.Organisations[1].Weight)
		}
	}
}
