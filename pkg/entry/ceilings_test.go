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

// TestCeilingPartsMoveBetweenEntries lets two entries ask each other over HTTP:
// the busy one gets more than its fraction, and no more than it once the other
// can't be reached and the lease has ended.
func TestCeilingPartsMoveBetweenEntries(t *testing.T) {
	const limit = 1000
	const token = "a-secret-of-the-processes"
	var list []hosts.Host
	var all []*ceilings
	var servers []*httptest.Server
	for _, name := range []string{"one", "two"} {
		c := newCeilings(name, time.Second, peer.NewEntryClient(token), func() []hosts.Host { return list }, func() int { return len(list) })
		e := echo.New()
		c.registerPeer(e.Group("", peer.RequireToken(token)))
		server := httptest.NewServer(e)
		defer server.Close()
		all, servers = append(all, c), append(servers, server)
		list = append(list, hosts.Host{Name: name, Role: hosts.RoleEntry, Address: server.URL})
	}
	for range 4 {
		now := time.Now()
		all[0].Spend("org", limit, 2*limit, now)
		all[1].Spend("org", limit, 1, now)
		all[1].ask(context.Background())
		all[0].ask(context.Background())
	}
	now := time.Now()
	busy, quiet := all[0].parts.Rate("org", now), all[1].parts.Rate("org", now)
	if busy <= limit/2 || busy+quiet > limit {
		t.Fatalf("the busy entry has %.0f and the quiet one %.0f of %d", busy, quiet, limit)
	}
	for _, s := range servers {
		s.Close()
	}
	later := now.Add(3 * time.Second)
	if cut := all[0].parts.Rate("org", later); cut != limit/2 {
		t.Errorf("cut off, the entry has %.0f, want its fraction", cut)
	}
}
