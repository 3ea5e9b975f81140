package intake

import (
	"math/rand/v2"
	"testing"
	"time"
)

var begin = time.Unix(0, 0)

func after(d time.Duration) time.Time { return begin.Add(d) }

// mustOpen adds a client that replaces no other one.
func mustOpen(t *testing.T, table *Table, g *Group, now time.Time) *Client {
	t.Helper()
	c, ended := table.Open(g, now)
	if c == nil || ended != nil {
		t.Fatalf("the client was refused or replaced another one: %v, %v", c, ended)
	}
	return c
}

// receiving adds a client whose body is arriving, and which holds some bytes.
func receiving(t *testing.T, table *Table, g *Group, held int64, now time.Time) *Client {
	t.Helper()
	c := mustOpen(t, table, g, now)
	table.BeginRequest(c, false)
	if ok, ended := table.Charge(c, held, now); !ok || len(ended) > 0 {
		t.Fatalf("%d bytes were refused, or ended %d clients", held, len(ended))
	}
	return c
}

// TestOrdinaryRequestsAreReceivedBesideLargeOnes guards against clients that hold the whole
// budget and keep others from sending ordinary requests.
func TestOrdinaryRequestsAreReceivedBesideLargeOnes(t *testing.T) {
	const budget, large = 16 << 20, 3 << 20
	table := NewTable(budget)
	g := table.AddGroup("callers", 1000)
	for range 4 {
		c := receiving(t, table, g, large, begin)
		// They are complete, so none of them may be ended.
		table.CompleteRequest(c)
	}
	c := mustOpen(t, table, g, begin)
	if ok, _ := table.Charge(c, large, begin); ok {
		t.Error("a large request was charged although only the reserve is left")
	}
	for i := range 50 {
		c := mustOpen(t, table, g, begin)
		if ok, ended := table.Charge(c, 60<<10, begin); !ok || len(ended) > 0 {
			t.Fatalf("ordinary request %d was refused", i)
		}
	}
}

// TestLargestAndSlowestEndFirst guards against ending clients that hold little or still send
// while others hold more and stand still.
func TestLargestAndSlowestEndFirst(t *testing.T) {
	const budget = 16 << 20
	table := NewTable(budget)
	g := table.AddGroup("callers", 1000)
	now := after(10 * time.Second)
	stalledSmall := receiving(t, table, g, 2<<20, begin)
	stalledLarge := receiving(t, table, g, 4<<20, begin)
	sending := receiving(t, table, g, 5<<20, now)
	c := receiving(t, table, g, 1<<20, now)
	for _, want := range []*Client{stalledLarge, stalledSmall} {
		ok, ended := table.Charge(c, 2<<20, now)
		if !ok || len(ended) != 1 || ended[0] != want {
			t.Fatalf("got %v, %v, want that one client ends", ok, ended)
		}
		if ok, _ := table.Charge(sending, 1<<20, now); !ok {
			t.Fatal("what was freed can't be used")
		}
	}
	if ok, _ := table.Charge(c, 4<<20, now); ok {
		t.Error("a client that sends was ended for another large one")
	}
	ordinary := mustOpen(t, table, g, now)
	for range 64 {
		// Complete requests use up the reserve.
		other := mustOpen(t, table, g, now)
		table.BeginRequest(other, true)
		if ok, ended := table.Charge(other, smallBytes, now); !ok || len(ended) > 0 {
			t.Fatal("the reserve can't be used")
		}
	}
	if ok, ended := table.Charge(ordinary, 4<<10, now); !ok || len(ended) != 1 || ended[0] != sending {
		t.Errorf("got %v, %v, want that the client that holds most ends", ok, ended)
	}
}

// TestSingleLargeRequestMayUseTheWholeBudget guards against a reserve that keeps a request from
// being served which the configuration allows, and against a single one that takes more.
func TestSingleLargeRequestMayUseTheWholeBudget(t *testing.T) {
	const budget = 16 << 20
	table := NewTable(budget)
	g := table.AddGroup("callers", 10)
	receiving(t, table, g, 10<<10, begin)
	c := receiving(t, table, g, budget-64<<10, begin)
	if other := mustOpen(t, table, g, begin); table.MayCharge(other, 1<<20, begin) {
		t.Error("another large request is received beside it")
	}
	if ok, _ := table.Charge(c, 1<<20, begin); ok {
		t.Error("the request took more than the budget")
	}
}

// TestRequestsOfOneConnectionGiveBackTheirOwn guards against a connection with several requests at
// once that keeps the memory of those which have ended.
func TestRequestsOfOneConnectionGiveBackTheirOwn(t *testing.T) {
	table := NewTable(1 << 20)
	g := table.AddGroup("callers", 10)
	c := mustOpen(t, table, g, begin)
	for range 1000 {
		table.BeginRequest(c, true)
		if ok, _ := table.Charge(c, 10<<10, begin); !ok {
			t.Fatal("requests that have ended are still charged")
		}
		if c.serving > 2 {
			table.EndRequest(c, true, 10<<10, begin)
		}
	}
}

// TestStalledClientsOfAnySizeGiveWay guards against many clients that each hold less than an
// ordinary request and stand still.
func TestStalledClientsOfAnySizeGiveWay(t *testing.T) {
	table := NewTable(1 << 20)
	g := table.AddGroup("callers", 10000)
	for range 1024 {
		c := mustOpen(t, table, g, begin)
		if ok, _ := table.Charge(c, 1<<10, begin); !ok {
			t.Fatal("a small client was refused while there is room")
		}
	}
	c := mustOpen(t, table, g, begin)
	if ok, _ := table.Charge(c, 4<<10, after(stallTime/2)); ok {
		t.Error("clients that still send were ended for a larger one")
	}
	if ok, ended := table.Charge(c, 4<<10, after(stallTime)); !ok || len(ended) != 4 {
		t.Errorf("got %v, %d ended; want room for an ordinary request", ok, len(ended))
	}
}

// TestFullListenerEndsIncompleteAndIdleClients guards against a listener that refuses new
// clients while others send nothing, or that ends clients which are served.
func TestFullListenerEndsIncompleteAndIdleClients(t *testing.T) {
	table := NewTable(1 << 20)
	g := table.AddGroup("callers", 5)
	served := receiving(t, table, g, 1, begin)
	table.CompleteRequest(served)
	rest := func(at time.Duration) *Client {
		c := receiving(t, table, g, 1, begin)
		table.CompleteRequest(c)
		table.EndRequest(c, true, 0, after(at))
		table.Rest(c, after(at))
		return c
	}
	idle, longIdle := rest(3*time.Second), rest(2*time.Second)
	halfBody := receiving(t, table, g, 1, after(time.Second))
	silent := mustOpen(t, table, g, after(4*time.Second))
	now := after(10 * time.Second)
	for _, want := range []*Client{halfBody, silent, longIdle, idle} {
		c, ended := table.Open(g, now)
		if c == nil || ended != want || want.cause != CauseConnections {
			t.Fatalf("got %v, want another client to be ended", ended)
		}
		table.BeginRequest(c, true)
	}
	if c, ended := table.Open(g, now); c != nil || ended != nil {
		t.Error("a client was accepted although all are served")
	}
}

// TestConnectionThatWritesItsResponseStays guards against ending a client whose response is
// still written.
func TestConnectionThatWritesItsResponseStays(t *testing.T) {
	table := NewTable(1 << 20)
	g := table.AddGroup("callers", 1)
	c := receiving(t, table, g, 1, begin)
	table.CompleteRequest(c)
	table.EndRequest(c, true, 0, begin)
	if other, _ := table.Open(g, after(stallTime/2)); other != nil {
		t.Error("the client was ended")
	}
	if other, ended := table.Open(g, after(stallTime)); other == nil || ended != c {
		t.Error("a client that does not read its response keeps others away")
	}
}

// TestTableInvariants plays random events and checks after each that the budget is kept, that
// what is used is what clients hold, and that no complete request is ended.
func TestTableInvariants(t *testing.T) {
	for seed := range uint64(200) {
		playTable(t, seed)
	}
}

func playTable(t *testing.T, seed uint64) {
	t.Helper()
	const budget, limit, events = 1 << 20, 20, 2000
	r := rand.New(rand.NewPCG(seed, 0))
	table := NewTable(budget)
	g := table.AddGroup("callers", limit)
	var open []*Client
	now := begin
	drop := func(c *Client) {
		for i := range open {
			if open[i] == c {
				open = append(open[:i], open[i+1:]...)
				return
			}
		}
	}
	checkEnded := func(ended ...*Client) {
		for _, v := range ended {
			if v != nil && v.serving > 0 {
				t.Fatalf("seed %d: a complete request was ended", seed)
			}
		}
	}
	for range events {
		now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
		if len(open) == 0 || r.IntN(6) == 0 {
			c, ended := table.Open(g, now)
			checkEnded(ended)
			if ended != nil {
				drop(ended)
			}
			if c != nil {
				open = append(open, c)
			}
			continue
		}
		c := open[r.IntN(len(open))]
		active := c.receiving + c.serving
		switch r.IntN(6) {
		case 0:
			table.Close(c)
			drop(c)
		case 1:
			if active == 0 {
				table.BeginRequest(c, r.IntN(2) == 0)
			}
		case 2:
			if c.receiving > 0 {
				table.CompleteRequest(c)
			}
		case 3:
			if active > 0 {
				table.EndRequest(c, c.serving > 0, int64(r.IntN(int(c.held+1))), now)
				if r.IntN(2) == 0 {
					table.Rest(c, now)
				}
			}
		default:
			table.Receive(c, 1+r.IntN(100), now)
			_, ended := table.Charge(c, int64(r.IntN(300<<10)), now)
			checkEnded(ended...)
		}
		used := int64(0)
		for c := range g.clients {
			if c.cause == "" {
				used += c.held
			}
		}
		if used != table.used || used > budget || len(g.clients) > limit || len(g.clients) != len(open) {
			t.Fatalf("seed %d: %d of %d bytes used, counted as %d; %d of %d clients, %d open", seed, used, budget, table.used, len(g.clients), limit, len(open))
		}
	}
	for len(open) > 0 {
		table.Close(open[0])
		open = open[1:]
	}
	if table.used != 0 || len(g.clients) != 0 {
		t.Errorf("seed %d: %d bytes and %d clients are left", seed, table.used, len(g.clients))
	}
}

func TestProgress(t *testing.T) {
	for _, tc := range []struct {
		name     string
		interval time.Duration
		bytes    int
		want     bool
	}{
		{"a byte now and then", time.Second, 1, false},
		{"a kilobyte within each window", progressWindow, minWindowBytes, true},
		{"steady and slow", 100 * time.Millisecond, 11, true},
	} {
		p, ok := NewProgress(begin), true
		for at := tc.interval; at <= 10*progressWindow; at += tc.interval {
			ok = ok && p.Record(tc.bytes, after(at))
		}
		if ok != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, ok, tc.want)
		}
	}
}
