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

// inForce is the bound within which an accepted change is in force everywhere.
const inForce = 3 * time.Second

// eventually polls a condition until it holds, at most for a bound.
func eventually(t *testing.T, bound time.Duration, what string, ok func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	err := ok()
	for err != nil {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not within %s: %v", what, bound, err)
		case <-time.After(20 * time.Millisecond):
		}
		err = ok()
	}
}

// setFaults makes the object API misbehave.
func setFaults(t *testing.T, d *deploy.Deployment, f objectapi.Faults) {
	t.Helper()
	if err := deploy.PutJSON(t.Context(), d.Objects.URL()+"/lab/faults", f); err != nil {
		t.Fatal(err)
	}
}

// cut cuts the links from one process to others.
func cut(t *testing.T, d *deploy.Deployment, from string, to ...string) {
	t.Helper()
	for _, name := range to {
		l, err := d.Link(from, name)
		if err != nil {
			t.Fatal(err)
		}
		l.Cut()
	}
}

// heal takes back a cut.
func heal(t *testing.T, d *deploy.Deployment, from string, to ...string) {
	t.Helper()
	for _, name := range to {
		l, err := d.Link(from, name)
		if err != nil {
			t.Fatal(err)
		}
		l.Heal()
	}
}

// setWeight changes one organisation through an entry and returns the version.
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

// holds reports whether an entry has a version of the table in force.
func holds(t *testing.T, d *deploy.Deployment, entry int, version uint64) func() error {
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

func TestTableReachesEveryHolder(t *testing.T) {
	d := start(t, deploy.Config{Entries: 4, Orders: 3, Links: true})
	r := &session.Recorder{}
	changeIsInForce := func(what string, entry, weight int) {
		version := setWeight(t, d, entry, weight)
		accepted := time.Now()
		for i := range d.Entries {
			eventually(t, inForce, what, holds(t, d, i, version))
		}
		eventually(t, inForce, what, agentsHold(t, d, version))
		t.Logf("%s: in force everywhere %s after it was accepted", what, time.Since(accepted))
		r.Line("%s: weight %d in force at every entry and agent", what, weight)
	}

	changeIsInForce("all links up", 0, 2)
	cut(t, d, "entry-3", "objects")
	changeIsInForce("entry-3 cut off from the object API", 0, 3)

	r.Note("the object API goes down; entry-2 is killed and starts again")
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
	eventually(t, 2*inForce, "a restarted entry learns the table", holds(t, d, 2, before.Version))
	r.Line("entry-2 has the table again")

	r.Note("entry-1 is cut off from every other entry, then the object API comes back")
	cut(t, d, "entry-1", "objects", "entry-0", "entry-2", "entry-3")
	setFaults(t, d, objectapi.Faults{})
	version := setWeight(t, d, 0, 4)
	eventually(t, inForce, "a change beside a cut", holds(t, d, 2, version))
	eventually(t, inForce, "a change beside a cut", agentsHold(t, d, version))
	if got := versionOf(t, d, 1); got != before.Version {
		t.Errorf("a cut entry went from version %d to %d", before.Version, got)
	}
	r.Line("every holder but entry-1 has the change; entry-1 keeps the table that it had")
	heal(t, d, "entry-1", "entry-2")
	eventually(t, inForce, "one link healed", holds(t, d, 1, version))
	r.Line("one link healed: entry-1 has the change")
	golden(t, r)
}

func versionOf(t *testing.T, d *deploy.Deployment, entry int) uint64 {
	t.Helper()
	got, err := d.Operator(entry).Table(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return got.Version
}

// agentsHold reports whether every agent has marks of a version in force.
func agentsHold(t *testing.T, d *deploy.Deployment, version uint64) func() error {
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

func TestLostAnswerOfATableWrite(t *testing.T) {
	d := start(t, deploy.Config{Entries: 1, Orders: 1})
	setFaults(t, d, objectapi.Faults{LoseAnswers: true})
	version := setWeight(t, d, 0, 7)
	if got := versionOf(t, d, 0); got != version {
		t.Errorf("the accepted version is %d, in force is %d", version, got)
	}
}
