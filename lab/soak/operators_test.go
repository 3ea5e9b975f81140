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

// calmWorld starts a deployment without faults and sends it one request that is served.
// It returns the request's ID.
func calmWorld(t *testing.T) (*world, string) {
	t.Helper()
	bin := t.TempDir()
	if err := deploy.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	w, err := newWorld(short.Shape, bin, t.TempDir(), 590)
	if w != nil {
		t.Cleanup(w.close)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := w.waitReady(); err != nil {
		t.Fatal(err)
	}
	c := newCaller(w, newBalancer(w, 1), 0, 1)
	for range 50 {
		if c.visit(); w.ledger.counts["served"] > 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, r := range w.ledger.requests {
		if len(r.runs) > 0 {
			return w, r.id
		}
	}
	t.Fatalf("nothing was served: %v", w.ledger.counts)
	return nil, ""
}

// TestOperatorsOnThePlatform opens the table as operators do: one row for each
// organisation of the platform, a weight that is set through one entry and seen through
// another, the status of the fleet, and the decisions about a request from its ID.
func TestOperatorsOnThePlatform(t *testing.T) {
	w, id := calmWorld(t)
	client := func(entry int) *operator.Client {
		return operator.NewClient("http://"+hostIP(1, entry)+":"+itoa(w.port), operatorToken)
	}
	rows, err := client(0).Table(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(rows.Organisations) != 2 || rows.Organisations[0].Weight != 1 || len(rows.Services) != 3 || len(rows.FailureDomains) != 3 {
		t.Errorf("table: %+v", rows)
	}
	weight, ceiling := 5, 100000
	if _, err := client(0).PatchOrganisation(t.Context(), "north", &operator.RowPatch{Weight: &weight, Ceiling: &ceiling}); err != nil {
		t.Fatal(err)
	}
	seen := false
	for until := time.Now().Add(3 * time.Second); !seen && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		// Until it has read the first version, the other entry says that it has none.
		if rows, err = client(1).Table(t.Context()); err != nil {
			continue
		}
		for _, o := range rows.Organisations {
			seen = seen || o.Name == "north" && o.Weight == weight && o.Ceiling == ceiling
		}
	}
	if !seen {
		t.Fatalf("the other entry shows %+v, %v", rows, err)
	}
	status, err := client(0).Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if !status.Platform.Answers || len(status.Upstreams) != short.Shape.Ranks+short.Shape.PlainUpstreams {
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

// TestMetricsAndAClosedOperatorsAPI reads the metrics of both kinds of process, and
// tries the operators' API without a token.
func TestMetricsAndAClosedOperatorsAPI(t *testing.T) {
	w, _ := calmWorld(t)
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
		if status, text := get("http://" + host + ":" + itoa(w.port+3) + "/metrics"); status != http.StatusOK || !strings.Contains(text, metric) {
			t.Errorf("metrics of %s: status %d, no %s", host, status, metric)
		}
	}
	if status, _ := get("http://" + hostIP(1, 0) + ":" + itoa(w.port) + "/operator/v1/table"); status != http.StatusUnauthorized {
		t.Errorf("the table without a token: status %d", status)
	}
}
