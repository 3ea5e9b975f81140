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

// fakeNetwork connects stores in one process, with a one-way delay. Requests to an
// unresponsive entry get no response.
type fakeNetwork struct {
	stores       map[string]*Store
	unresponsive map[string]bool
	delay        time.Duration
	requests     atomic.Int64
	bytes        atomic.Int64
}

// countBytes adds the size of v as JSON to the bytes that were transferred.
func (n *fakeNetwork) countBytes(v any) {
	raw, _ := json.Marshal(v)
	n.bytes.Add(int64(len(raw)))
}

func (n *fakeNetwork) PollUpdate(ctx context.Context, address string, request *tablesync.UpdateRequest) (*tablesync.Update, error) {
	if n.unresponsive[address] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(n.delay)
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
	defer cancel()
	update := n.stores[address].waitForUpdate(waitCtx, request)
	time.Sleep(n.delay)
	n.requests.Add(1)
	n.countBytes(request)
	n.countBytes(update)
	return update, ctx.Err()
}

func (n *fakeNetwork) Page(_ context.Context, address, hash string) (table.Page, error) {
	time.Sleep(2 * n.delay)
	p, ok := n.stores[address].page(hash)
	if !ok {
		return p, errors.New("no such page")
	}
	n.countBytes(p)
	return p, nil
}

// TestUpdatesReachEveryEntry checks that a change spreads to all entries from the only one
// that reaches the platform's store, while every tenth entry is unresponsive.
func TestUpdatesReachEveryEntry(t *testing.T) {
	for _, entries := range []int{4, 330} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSpread(t, entries) })
		})
	}
}

func checkSpread(t *testing.T, entries int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n := &fakeNetwork{stores: make(map[string]*Store), unresponsive: make(map[string]bool), delay: 1500 * time.Microsecond}
	f := newFake()
	var list []hosts.Host
	for i := range entries {
		name := fmt.Sprintf("entry-%03d", i)
		n.stores[name] = New(f, Config{Entry: name, WatchTimeout: WatchTimeout})
		n.unresponsive[name] = i%10 == 9
		list = append(list, hosts.Host{Name: name, Role: hosts.RoleEntry, Address: name})
	}
	for _, s := range n.stores {
		go NewPeerSync(s, n, func() []hosts.Host { return list }).Run(ctx)
	}
	first := n.stores["entry-000"]
	change(t, first, func(d *Draft) { d.Organisations = organisations(100) })
	waitForVersion(t, n, 1, 2*maxSpreadTime)
	requests, bytes := n.requests.Load(), n.bytes.Load()
	const idle = 10 * time.Second
	time.Sleep(idle)
	t.Logf("idle: %.1f requests/s and %.0f B/s of bodies per entry", ratePerEntry(n.requests.Load()-requests, entries, idle), ratePerEntry(n.bytes.Load()-bytes, entries, idle))
	change(t, first, func(d *Draft) { d.Organisations[0].Weight = 9 })
	t.Logf("%d entries: all have a change after %s", entries, waitForVersion(t, n, 2, maxSpreadTime))
	cancel()
	time.Sleep(2 * updateWait)
}

// maxSpreadTime is the time limit for a change to reach every entry.
const maxSpreadTime = 3 * time.Second

func ratePerEntry(n int64, entries int, d time.Duration) float64 {
	return float64(n) / float64(entries) / d.Seconds()
}

// waitForVersion waits until every entry has a version, and returns the time that this took.
func waitForVersion(t *testing.T, n *fakeNetwork, version uint64, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		behind := 0
		for _, s := range n.stores {
			if s.Marks().Version < version {
				behind++
			}
		}
		elapsed := time.Since(start)
		if behind == 0 {
			return elapsed
		}
		if elapsed > limit {
			t.Fatalf("%d of %d entries have not received version %d after %s", behind, len(n.stores), version, elapsed)
		}
		time.Sleep(time.Millisecond)
	}
}
