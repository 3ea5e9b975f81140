package sessions

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/objectapi"
	"github.com/acaciaglade/acaciaglade/lab/session"
)

// propagationLimit is the time within which every process applies an accepted change.
const propagationLimit = 3 * time.Second

// eventually polls a check until it returns no error, and fails the test when the
// limit has passed.
func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	err := check()
	for err != nil {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: check still fails after %s: %v", what, limit, err)
		case <-time.After(20 * time.Millisecond):
		}
		err = check()
	}
}

// setFaults sets the faults of the object API.
func setFaults(t *testing.T, d *deploy.Deployment, f objectapi.Faults) {
	t.Helper()
	if err := deploy.PutJSON(t.Context(), d.Objects.URL()+"/lab/faults", f); err != nil {
		t.Fatal(err)
	}
}

// cutLinks cuts the links from one process to each of the named ones.
func cutLinks(t *testing.T, d *deploy.Deployment, from string, to ...string) {
	t.Helper()
	for _, name := range to {
		l, err := d.Link(from, name)
		if err != nil {
			t.Fatal(err)
		}
		l.Cut()
	}
}

// healLinks restores the links from one process to each of the named ones.
func healLinks(t *testing.T, d *deploy.Deployment, from string, to ...string) {
	t.Helper()
	for _, name := range to {
		l, err := d.Link(from, name)
		if err != nil {
			t.Fatal(err)
		}
		l.Heal()
	}
}

// setWeight changes the weight of the first organisation through an entry and returns
// the accepted version of the table.
func setWeight(t *testing.T, d *deploy.Deployment, entry, weight int) uint64 {
	t.Helper()
	current, err := d.Operator(entry).Table(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	current.Organisations[0].Weight = weight
	accepted, err := d.Operator(entry).PutTable(t.Context(), current)
	if err != nil {
		t.Fatal(err)
	}
	return accepted.Version
}

// entryHasVersion returns a check that an entry's table has at least a version.
func entryHasVersion(t *testing.T, d *deploy.Deployment, entry int, version uint64) func() error {
	return func() error {
		got, err := d.Operator(entry).Table(t.Context())
		if err != nil {
			return err
		}
		if got.Version < version {
			return errors.Errorf("entry-%d has version %d of %d", entry, got.Version, version)
		}
		return nil
	}
}

// TestTableReachesEveryHolder checks that an accepted change reaches every entry and
// agent within propagationLimit, also those that are cut off from the object API and an
// entry that restarts while it is down.
func TestTableReachesEveryHolder(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 4, Orders: 3, Links: true})
	r := &session.Recorder{}
	assertApplied := func(what string, entry, weight int) {
		version := setWeight(t, d, entry, weight)
		accepted := time.Now()
		for i := range d.Entries {
			eventually(t, propagationLimit, what, entryHasVersion(t, d, i, version))
		}
		eventually(t, propagationLimit, what, agentsHaveVersion(t, d, version))
		t.Logf("%s: every entry and agent has the change %s after it was accepted", what, time.Since(accepted))
		r.Line("%s: every entry and agent has weight %d", what, weight)
	}

	assertApplied("all links up", 0, 2)
	cutLinks(t, d, "entry-3", "objects")
	assertApplied("entry-3 cut off from the object API", 0, 3)

	r.Note("the object API is down; entry-2 is killed and restarted")
	setFaults(t, d, objectapi.Faults{Down: true})
	if err := d.Kill(t.Context(), d.Entries[2]); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(d.Entries[2]); err != nil {
		t.Fatal(err)
	}
	before, err := d.Operator(0).Table(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, 2*propagationLimit, "a restarted entry receives the table", entryHasVersion(t, d, 2, before.Version))
	r.Line("entry-2 has the table again")

	r.Note("entry-1 is cut off from the object API and every other entry, and the object API recovers")
	cutLinks(t, d, "entry-1", "objects", "entry-0", "entry-2", "entry-3")
	setFaults(t, d, objectapi.Faults{})
	version := setWeight(t, d, 0, 4)
	eventually(t, propagationLimit, "a change while entry-1 is cut off", entryHasVersion(t, d, 2, version))
	eventually(t, propagationLimit, "a change while entry-1 is cut off", agentsHaveVersion(t, d, version))
	if got := tableVersion(t, d, 1); got != before.Version {
		t.Errorf("the table of the entry that is cut off changed from version %d to %d", before.Version, got)
	}
	r.Line("every replica of the table except that of entry-1 has the change; entry-1 keeps its version")
	healLinks(t, d, "entry-1", "entry-2")
	eventually(t, propagationLimit, "one link of entry-1 restored", entryHasVersion(t, d, 1, version))
	r.Line("one link of entry-1 is restored: entry-1 has the change")
	assertGolden(t, r)
}

// tableVersion returns the version of an entry's table.
func tableVersion(t *testing.T, d *deploy.Deployment, entry int) uint64 {
	t.Helper()
	got, err := d.Operator(entry).Table(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return got.Version
}

// agentsHaveVersion returns a check that the marks of every agent have at least a
// version.
func agentsHaveVersion(t *testing.T, d *deploy.Deployment, version uint64) func() error {
	return func() error {
		s, err := d.Operator(0).Status(t.Context())
		if err != nil {
			return err
		}
		for _, u := range s.Upstreams {
			if u.MarksVersion < version {
				return errors.Errorf("%s has version %d of %d", u.Upstream, u.MarksVersion, version)
			}
		}
		return nil
	}
}

// TestLostAnswerOfATableWrite guards against a write that took effect and is reported
// as failed because its response was lost.
func TestLostAnswerOfATableWrite(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 1, Orders: 1})
	setFaults(t, d, objectapi.Faults{DropResponses: true})
	version := setWeight(t, d, 0, 7)
	if got := tableVersion(t, d, 0); got != version {
		t.Errorf("the accepted version is %d, the current one is %d", version, got)
	}
}
