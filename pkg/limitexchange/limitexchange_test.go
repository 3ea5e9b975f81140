package limitexchange

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// fakeLimits holds a table behind a lock.
type fakeLimits struct {
	mu    sync.Mutex
	table *sendlimit.Table
}

func (f *fakeLimits) LimitReports() []sendlimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Reports(time.Now())
}

func (f *fakeLimits) MergeLimits(reports []sendlimit.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range reports {
		_, _ = f.table.Merge(&reports[i], time.Now())
	}
}

func (f *fakeLimits) Limits() []sendlimit.Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Limits(time.Now())
}

// node is an entry with its server.
type node struct {
	*fakeLimits
	exchange *Exchange
	// reachable is false while the entry answers nothing.
	mu        sync.Mutex
	reachable bool
}

func (n *node) setReachable(reachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reachable = reachable
}

// newNodes returns entries that know each other.
func newNodes(t *testing.T, names ...string) map[string]*node {
	t.Helper()
	nodes := make(map[string]*node)
	var list []hosts.Host
	for _, name := range names {
		n := &node{fakeLimits: &fakeLimits{table: sendlimit.New(name, 1)}, reachable: true}
		e := echo.New()
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n.mu.Lock()
			reachable := n.reachable
			n.mu.Unlock()
			if !reachable {
				time.Sleep(sendTimeout + 100*time.Millisecond)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			e.ServeHTTP(w, r)
		}))
		t.Cleanup(s.Close)
		list = append(list, hosts.Host{Name: name, Role: hosts.RoleEntry, Address: s.URL})
		nodes[name] = n
		n.exchange = New(Config{
			Entry: name, Hosts: func() []hosts.Host { return list }, Peers: peer.NewEntryClient("a shared secret of entries"), Limits: n, Registry: prometheus.NewRegistry(),
		})
		n.exchange.RegisterPeerRoutes(e.Group(""))
	}
	return nodes
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// TestLimitReachesAllEntries checks that a limit that one entry learns reaches the others
// without the store, also one that was unreachable when it was sent, and one that starts
// later while another is unreachable.
func TestLimitReachesAllEntries(t *testing.T) {
	nodes := newNodes(t, "a", "b", "c", "d")
	nodes["c"].setReachable(false)
	for _, name := range []string{"a", "b"} {
		go nodes[name].exchange.Run(t.Context())
	}
	now := time.Now()
	nodes["a"].table.Observe(&sendlimit.Notice{Key: sendlimit.Key{Upstream: "u", Incarnation: "1"}, Limited: true, Rate: 2, SentAt: now, ReceivedAt: now})
	nodes["a"].exchange.RecordChange()
	waitFor(t, "the limit is known at the entry that is reachable", func() bool { return len(nodes["b"].Limits()) == 1 })
	if len(nodes["c"].Limits()) != 0 {
		t.Fatal("the unreachable entry knows the limit")
	}
	begin := time.Now()
	go nodes["d"].exchange.Run(t.Context())
	waitFor(t, "the entry that starts is ready", nodes["d"].exchange.IsSynced)
	if took := time.Since(begin); len(nodes["d"].Limits()) != 1 || took > 300*time.Millisecond {
		t.Errorf("the entry that starts knows %d limits after %v", len(nodes["d"].Limits()), took)
	}
	nodes["c"].setReachable(true)
	waitFor(t, "the limit is sent again", func() bool { return len(nodes["c"].Limits()) == 1 })
}
