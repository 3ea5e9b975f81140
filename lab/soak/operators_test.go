package soak

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
)

// newFaultFreeDeployment starts a deployment without faults and sends requests until one
// is served. It returns the ID of that request.
func newFaultFreeDeployment(t *testing.T) (*deployment, string) {
	t.Helper()
	bin := t.TempDir()
	if err := deploy.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	d, err := newDeployment(shortRun.Size, bin, t.TempDir(), 590)
	if d != nil {
		t.Cleanup(d.close)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := d.waitReady(); err != nil {
		t.Fatal(err)
	}
	c := newCaller(d, newBalancer(d, 1), 0, 1)
	for range 50 {
		if c.sendRandom(); d.checker.counts["served"] > 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, r := range d.checker.requests {
		if len(r.runs) > 0 {
			return d, r.id
		}
	}
	t.Fatalf("no request was served; outcomes: %v", d.checker.counts)
	return nil, ""
}

// TestOperatorAPIOnThePlatform reads the table, which must have one row for each
// organisation of the platform, and the status and the decisions about a request. A
// weight that is set through one entry must be visible through another.
func TestOperatorAPIOnThePlatform(t *testing.T) {
	d, id := newFaultFreeDeployment(t)
	client := func(entry int) *operator.Client {
		return operator.NewClient("http://"+hostIP(1, entry)+":"+itoa(d.port), operatorToken)
	}
	table, err := client(0).Table(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(table.Organisations) != 2 || table.Organisations[0].Weight != 1 || len(table.Services) != 3 || len(table.FailureDomains) != 3 {
		t.Errorf("table: %+v", table)
	}
	weight, ceiling := 5, 100000
	if _, err := client(0).PatchOrganisation(t.Context(), "north", &operator.RowPatch{Weight: &weight, Ceiling: &ceiling}); err != nil {
		t.Fatal(err)
	}
	visible := false
	for until := time.Now().Add(3 * time.Second); !visible && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		// The other entry responds that it has no table until it has read the first
		// version.
		if table, err = client(1).Table(t.Context()); err != nil {
			continue
		}
		for _, o := range table.Organisations {
			visible = visible || o.Name == "north" && o.Weight == weight && o.Ceiling == ceiling
		}
	}
	if !visible {
		t.Fatalf("the change is not visible through the other entry: table %+v, error %v", table, err)
	}
	status, err := client(0).Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if !status.Platform.Responds || len(status.Upstreams) != shortRun.Size.Ranks+shortRun.Size.PlainUpstreams {
		t.Errorf("status: store %+v, %d upstreams", status.Platform, len(status.Upstreams))
	}
	report, err := client(0).Decisions(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Decisions) == 0 || len(report.Unreachable) > 0 {
		t.Errorf("decisions about %s: %+v", id, report)
	}
}

// TestMetricsAndUnauthenticatedOperatorAPI reads the metrics of an entry and an agent,
// and checks that the operator API refuses requests without a token.
func TestMetricsAndUnauthenticatedOperatorAPI(t *testing.T) {
	d, _ := newFaultFreeDeployment(t)
	get := func(url string) (int, string) {
		resp, err := http.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(body)
	}
	for host, metric := range map[string]string{hostIP(1, 0): "acaciaglade_store_calls_total", hostIP(2, 0): "acaciaglade_coordinating"} {
		if status, text := get("http://" + host + ":" + itoa(d.port+3) + "/metrics"); status != http.StatusOK || !strings.Contains(text, metric) {
			t.Errorf("metrics of %s: status %d, want 200 and the metric %s", host, status, metric)
		}
	}
	if status, _ := get("http://" + hostIP(1, 0) + ":" + itoa(d.port) + "/operator/v1/table"); status != http.StatusUnauthorized {
		t.Errorf("table without a token: status %d, want 401", status)
	}
}

// command runs an operators' command against an entry and returns its output.
func (d *deployment) command(t *testing.T, entry int, args ...string) string {
	t.Helper()
	c := exec.CommandContext(t.Context(), d.entries[0].args[0], append(args, "--entry", "http://"+hostIP(1, entry)+":"+itoa(d.port))...)
	c.Env = append(os.Environ(), "ACACIAGLADE_OPERATOR_TOKEN="+operatorToken)
	out, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

// TestOperatorsSeeLimitsAndRestores checks that a limit that one entry has learned is shown by
// another one, that the era of a store that has come back from a copy is shown, and that the
// table that the copy lacks is written again.
func TestOperatorsSeeLimitsAndRestores(t *testing.T) {
	d, _ := newFaultFreeDeployment(t)
	objects := d.store.Copy()
	client := operator.NewClient("http://"+hostIP(1, 0)+":"+itoa(d.port), operatorToken)
	weight := 5
	if _, err := client.PatchOrganisation(t.Context(), "north", &operator.RowPatch{Weight: &weight}); err != nil {
		t.Fatal(err)
	}
	d.restoreStore(objects)
	plain := d.upstreams[d.size.Ranks]
	plain.nameLimit(2.5)
	c := newCaller(d, newBalancer(d, 2), 1, 2)
	shown := func(entry int, text string, args ...string) {
		t.Helper()
		out, deadline := "", time.Now().Add(5*time.Second)
		for time.Now().Before(deadline) {
			if out = d.command(t, entry, args...); strings.Contains(out, text) {
				t.Logf("%v\n%s", args, out)
				return
			}
			// Only responses of the plain upstream name its limit.
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			c.send(ctx, pathStatus, false, false, callerTimeout)
			cancel()
			time.Sleep(50 * time.Millisecond)
		}
		t.Errorf("%v at entry %d does not show %q:\n%s", args, entry, text, out)
	}
	for entry := range d.entries {
		shown(entry, "2.5", "limit", "list")
		shown(entry, "era    2", "store", "show")
	}
	isStored := func() bool { return len(d.store.Names("tables")) == 1 && len(d.store.Names("tablepages")) > 0 }
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && !isStored(); {
		time.Sleep(50 * time.Millisecond)
	}
	if !isStored() {
		t.Errorf("the store has the tables %v with the pages %v", d.store.Names("tables"), d.store.Names("tablepages"))
	}
}
