package soak

import (
	"io"
	"net/http"
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
