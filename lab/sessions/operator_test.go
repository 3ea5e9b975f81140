package sessions

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/objectapi"
	"github.com/acaciaglade/acaciaglade/lab/session"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// shell runs commands of the acaciaglade program with an operator's settings.
type shell struct {
	t     *testing.T
	r     *session.Recorder
	entry string
	dir   string
}

// run runs a command, records its output, and returns its standard output.
func (s *shell) run(args ...string) string {
	s.t.Helper()
	cmd := exec.CommandContext(s.t.Context(), filepath.Join(binDir, "acaciaglade"), args...)
	cmd.Dir = s.dir
	cmd.Env = append(os.Environ(), "ACACIAGLADE_ENTRY="+s.entry, "ACACIAGLADE_OPERATOR_TOKEN="+deploy.OperatorToken)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	s.r.Line("$ acaciaglade %s", strings.Join(args, " "))
	s.r.Line("%s", strings.TrimRight(out.String()+errOut.String(), "\n"))
	if err != nil {
		s.r.Line("(%v)", err)
	}
	return out.String()
}

func (s *shell) writeFile(name, content string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// TestOperatorVisit records the output of the operators' commands, also for invalid
// tables, conflicting writes and an unavailable store.
func TestOperatorVisit(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 2, Models: 1, Orders: 1, Links: true, HostListLag: hostListLag})
	r := &session.Recorder{}
	sh := &shell{t: t, r: r, entry: d.Entries[0].URL(), dir: t.TempDir()}

	r.Note("the table, by command and as CSV")
	sh.run("table", "show")
	csv := sh.run("table", "show", "--csv")
	r.Note("the same CSV is applied, which changes nothing")
	sh.writeFile("same.csv", csv)
	sh.run("table", "apply", "same.csv")
	r.Note("a row is changed by CSV and by command")
	sh.writeFile("changed.csv", strings.Replace(csv, ",3,0,false", ",5,1000,false", 1))
	sh.run("table", "apply", "changed.csv")
	sh.run("table", "set", "--weight", "2", "--priority", "true", "metered")
	sh.run("table", "set", "--token-hash", table.HashToken("new"), "new-customer")
	sh.run("table", "remove", "new-customer")
	sh.run("table", "show", "--json")

	r.Note("each invalid row is reported, and nothing is applied")
	sh.writeFile("bad.csv", strings.Replace(csv, ",3,0,false", ",lots,-1,maybe", 1))
	sh.run("table", "apply", "bad.csv")
	sh.writeFile("worse.csv", strings.Replace(strings.Replace(csv, ",3,0,false", ",0,-1,false", 1), "cards", "franchise", 1))
	sh.run("table", "apply", "worse.csv")
	sh.run("table", "set", "--weight", "0", "metered")

	r.Note("two operators read the same version; the second write is refused")
	first, err := d.Operator(0).Table(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second := first.Clone()
	first.Organisations[0].Weight, second.Organisations[0].Weight = 8, 9
	if _, err := d.Operator(0).PutTable(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	_, err = d.Operator(1).PutTable(t.Context(), second)
	r.Line("%v", err)

	r.Note("a failure domain and an upstream are taken out of service and returned to it")
	sh.run("domain", "fd-a", "out")
	sh.run("domain", "fd-z", "out")
	sh.run("upstream", "orders-0", "out")
	eventually(t, propagationLimit, "out of service", agentsHaveVersion(t, d, 8))
	eventually(t, propagationLimit, "out of service", entryHasVersion(t, d, 1, 8))
	sh.run("status")
	sh.run("domain", "fd-a", "in")
	sh.run("upstream", "orders-0", "in")
	eventually(t, propagationLimit, "returned to service", agentsHaveVersion(t, d, 10))
	eventually(t, propagationLimit, "returned to service", entryHasVersion(t, d, 1, 10))

	r.Note("the store is down, and entry-1 is unreachable")
	setFaults(t, d, objectapi.Faults{Down: true})
	cutLinks(t, d, "entry-0", "entry-1")
	sh.run("table", "set", "--weight", "3", "metered")
	sh.run("domain", "fd-a", "out")
	sh.run("domain", "fd-a", "in")
	eventually(t, propagationLimit, "provisional mark", func() error {
		s, err := d.Operator(0).Status(t.Context())
		if err != nil {
			return err
		}
		for _, h := range s.Hosts {
			if h.Host != "entry-1" && !h.IsCurrent {
				return errors.Errorf("the mark is not in force at %s", h.Host)
			}
		}
		return nil
	})
	sh.run("status")

	r.Note("the operators' page, and a wrong token")
	for _, path := range []string{"/", "/operator/", "/operator/page.js", "/operator/page.css"} {
		status, _, err := (&session.Recorder{}).Do(t.Context(), session.Call{Method: "GET", URL: sh.entry + path})
		r.Line("GET %s: %d %v", path, status, err)
	}
	mustCall(t, r, session.Call{Method: "GET", URL: sh.entry + "/operator/v1/table", Token: "wrong"})
	assertGolden(t, r)
}

// TestStatusNamesWhatIsNotInForce guards against a status that reports a change as in
// force at a process that can't have it: an agent is frozen and an entry is cut off.
func TestStatusNamesWhatIsNotInForce(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 3, Orders: 2, Links: true})
	if err := d.Agents[1].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	cutLinks(t, d, "entry-2", "objects", "entry-0", "entry-1")
	version := setWeight(t, d, 0, 5)
	want := map[string]bool{"entry-0": true, "entry-1": true, "entry-2": false, "orders-0": true, "orders-1": false}
	check := func(want map[string]bool) func() error {
		return func() error {
			s, err := d.Operator(0).Status(t.Context())
			if err != nil {
				return err
			}
			for _, h := range s.Hosts {
				if h.IsCurrent != want[h.Host] || h.IsCurrent && h.Version < version || len(s.Hosts) != len(want) {
					return errors.Errorf("wrong status of a host: %+v", h)
				}
				if frozen := h.Host == "orders-1"; frozen == h.Reachable {
					return errors.Errorf("wrong status of a host: %+v", h)
				}
			}
			return nil
		}
	}
	eventually(t, 2*propagationLimit, "status of the entry that is cut off and of the frozen agent", check(want))
	s, err := d.Operator(2).Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range s.Hosts {
		if h.Host == "entry-2" && h.IsCurrent && h.Version == version {
			t.Errorf("the entry that is cut off reports the change as in force: %+v", h)
		}
	}
	if s.Platform.Responds {
		t.Error("the entry that is cut off reports that the store answers")
	}
}
