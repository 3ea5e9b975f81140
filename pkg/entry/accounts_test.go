package entry

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/accounting"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

const testPeerToken = "test-peer-token-1"

// TestAccountsMergeAllEntries checks that the accounts of two entries are merged, and that
// an unreachable entry is listed in the report.
func TestAccountsMergeAllEntries(t *testing.T) {
	var list []hosts.Host
	listHosts := func() []hosts.Host { return list }
	registry := prometheus.NewRegistry()
	newEntry := func(name string) *accounts {
		a := newAccounts(name, peer.NewAgentClient(testPeerToken), listHosts, prometheus.WrapRegistererWith(prometheus.Labels{"entry": name}, registry))
		e := echo.New()
		a.registerPeerRoutes(e.Group("", peer.RequireToken(testPeerToken)))
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		list = append(list, hosts.Host{Name: name, Role: hosts.RoleEntry, Address: s.URL})
		return a
	}
	one, two := newEntry("one"), newEntry("two")
	gone := httptest.NewServer(nil)
	gone.Close()
	list = append(list, hosts.Host{Name: "gone", Role: hosts.RoleEntry, Address: gone.URL})
	request := func(a *accounts) *pipe.Request {
		return &pipe.Request{ID: "id", Organisation: &table.Organisation{Name: "o"}, Service: &table.Service{Name: "m"}, FirstPartAt: time.Now(), ExpectedCost: 10, ActualCost: 4, Decisions: a.decisions}
	}
	one.recordEnd(request(one), nil)
	two.recordEnd(request(two), problem.New(problem.ReasonCeiling, ""))

	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	observed := make(map[string]uint64)
	for _, family := range families {
		for _, m := range family.Metric {
			observed[family.GetName()] += m.GetHistogram().GetSampleCount()
		}
	}
	if observed["acaciaglade_answer_seconds"] != 1 || observed["acaciaglade_first_part_seconds"] != 1 {
		t.Errorf("got %v latency samples, want 1 response and 1 first part", observed)
	}

	report := one.Accounts(t.Context(), accounting.Query{}, true)
	if !slices.Equal(report.Entries, []string{"one", "two"}) || !slices.Equal(report.Unreachable, []string{"gone"}) {
		t.Errorf("got entries %v and unreachable %v, want [one two] and [gone]", report.Entries, report.Unreachable)
	}
	if len(report.Accounts) != 1 || report.Accounts[0].Requests != 2 || report.Accounts[0].Refused != 1 || report.Accounts[0].DeliveredCost != 8 {
		t.Errorf("got accounts %+v, want one with 2 requests, 1 refused, and delivered cost 8", report.Accounts)
	}
	decisions := one.Decisions(t.Context(), "id")
	if len(decisions.Decisions) != 2 || decisions.Decisions[1].Reason != string(problem.ReasonCeiling) || decisions.Decisions[1].Host != "two" {
		t.Errorf("got decisions %+v, want 2, the second a refusal by the ceiling at entry two", decisions)
	}
}
