package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
)

// TestCeilingRateMovesBetweenEntries lets two entries request leases from each other over
// HTTP. The busy one gets more than its base rate, and falls back to it once the other is
// unreachable and the lease has expired.
func TestCeilingRateMovesBetweenEntries(t *testing.T) {
	const limit = 1000
	const token = "a-secret-of-the-processes"
	var list []hosts.Host
	var all []*ceilings
	var servers []*httptest.Server
	for _, name := range []string{"one", "two"} {
		c := newCeilings(name, time.Second, peer.NewEntryClient(token), func() []hosts.Host { return list }, func() int { return len(list) })
		e := echo.New()
		c.registerPeerRoutes(e.Group("", peer.RequireToken(token)))
		server := httptest.NewServer(e)
		defer server.Close()
		all, servers = append(all, c), append(servers, server)
		list = append(list, hosts.Host{Name: name, Role: hosts.RoleEntry, Address: server.URL})
	}
	for range 4 {
		now := time.Now()
		all[0].Spend("org", limit, 2*limit, now)
		all[1].Spend("org", limit, 1, now)
		all[1].requestLeases(context.Background())
		all[0].requestLeases(context.Background())
	}
	now := time.Now()
	busy, quiet := all[0].limiter.Rate("org", now), all[1].limiter.Rate("org", now)
	if busy <= limit/2 || busy+quiet > limit {
		t.Fatalf("the busy entry has a rate of %.0f and the quiet one of %.0f, with a ceiling of %d", busy, quiet, limit)
	}
	for _, s := range servers {
		s.Close()
	}
	later := now.Add(3 * time.Second)
	if rate := all[0].limiter.Rate("org", later); rate != limit/2 {
		t.Errorf("the entry that is cut off has a rate of %.0f, want its base rate", rate)
	}
}
