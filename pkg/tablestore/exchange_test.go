package tablestore

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// fakeNetwork joins stores in one process, with a one-way delay. Asks of a
// silent entry never get an answer.
type fakeNetwork struct {
	stores map[string]*Store
	silent map[string]bool
	delay  time.Duration
	asks   atomic.Int64
	bytes  atomic.Int64
}

func (n *fakeNetwork) count(v any) {
	raw, _ := json.Marshal(v)
	n.bytes.Add(int64(len(raw)))
}

func (n *fakeNetwork) PollUpdate(ctx context.Context, address string, ask *tablesync.UpdateRequest) (*tablesync.Update, error) {
	if n.silent[address] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(n.delay)
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMillis)*time.Millisecond)
	defer cancel()
	news := n.stores[address].waitNews(waitCtx, ask)
	time.Sleep(n.delay)
	n.asks.Add(1)
	n.count(ask)
	n.count(news)
	return news, ctx.Err()
}

func (n *fakeNetwork) Page(_ context.Context, address, hash string) (table.Page, error) {
	time.Sleep(2 * n.delay)
	p, ok := n.stores[address].page(hash)
	if !ok {
		return p, errors.New("no such page")
	}
	n.count(p)
	return p, nil
}

// TestNewsReachesEveryEntry spreads a change from the one entry that reaches
// the platform's store, while every tenth entry is silent.
func TestNewsReachesEveryEntry(t *testing.T) {
	for _, entries := range []int{4, 330} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { spread(t, entries) })
		})
	}
}

func spread(t *testing.T, entries int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n := &fakeNetwork{stores: make(map[string]*Store), silent: make(map[string]bool), delay: 1500 * time.Microsecond}
	f := newFake()
	var list []hosts.Host
	for i := range entries {
		name := fmt.Sprintf("entry-%03d", i)
		n.stores[name] = New(f, Config{Entry: name, WatchTimeout: WatchTimeout})
		n.silent[name] = i%10 == 9
		list = append(list, hosts.Host{Name: name, Role: hosts.RoleEntry, Address: name})
	}
	for _, s := range n.stores {
		go NewPeerSync(s, n, func() []hosts.Host { return list }).Run(ctx)
	}
	first := n.stores["entry-000"]
	change(t, first, func(d *Draft) { d.Organisations = organisations(100) })
	waitAll(t, n, 1, 2*maxSpread)
	asks, bytes := n.asks.Load(), n.bytes.Load()
	const idle = 10 * time.Second
	time.Sleep(idle)
	t.Logf("idle: %.1f asks/s and %.0f B/s of bodies at each entry", rate(n.asks.Load()-asks, entries, idle), rate(n.bytes.Load()-bytes, entries, idle))
	change(t, first, func(d *Draft) { d.Organisations[0].Weight = 9 })
	t.Logf("%d entries: a change is everywhere after %s", entries, waitAll(t, n, 2, maxSpread))
	cancel()
	time.Sleep(2 * newsWait)
}

// maxSpread is the bound within which a change is in force everywhere.
const maxSpread = 3 * time.Second

func rate(n int64, entries int, d time.Duration) float64 {
	return float64(n) / float64(entries) / d.Seconds()
}

// waitAll waits until every entry has a version, and returns how long it took.
func waitAll(t *testing.T, n *fakeNetwork, version uint64, bound time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		late := 0
		for _, s := range n.stores {
			if s.Marks().Version < version {
				late++
			}
		}
		took := time.Since(start)
		if late == 0 {
			return took
		}
		if took > bound {
			t.Fatalf("%d of %d entries lack version %d after %s", late, len(n.stores), version, took)
		}
		time.Sleep(time.Millisecond)
	}
}
