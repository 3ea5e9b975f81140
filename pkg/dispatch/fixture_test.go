package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

const model = "writers"

var t0 = time.Unix(1_800_000_000, 0)

// ranks returns the ranks of one group, spread over three failure domains.
func ranks(n, slots int) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{
			ID: fmt.Sprint("rank-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Service: model,
			FailureDomain: fmt.Sprint("domain-", i%3), Incarnation: "1", Slots: slots, Agent: fmt.Sprint("10.0.0.", i, ":90"),
			Group: Group{Name: "g", Epoch: 1, Rank: i, Size: n, Open: true},
		}
	}
	return list
}

// newDispatcher returns the dispatcher of one entry. limitDivisor is the number of entries.
func newDispatcher(seed uint64, limitDivisor int, list []Upstream) *Dispatcher {
	d := New(Config{FailureDomain: fmt.Sprint("domain-", seed%3), Seed: seed, ColdFactor: 1.5, ColdSlack: 5, MaxQueueTime: 1200 * time.Millisecond})
	d.SetIndex(table.NewIndex(&table.Table{Services: []table.Service{{Name: model, Kind: table.KindModel}}}), t0)
	d.SetLimitDivisor(limitDivisor, t0)
	d.SetUpstreams(list, t0)
	return d
}

func request(id string, now time.Time) Request {
	return Request{ID: id, Service: model, Organisation: "o", Weight: 1, Cost: 100, Deadline: now.Add(8 * time.Second)}
}

// groupLoadOf returns a group load with the given number of requests at each rank.
func groupLoadOf(at time.Time, running []int) GroupLoad {
	load := GroupLoad{Group: "g", Epoch: 1, At: at}
	for _, n := range running {
		load.Ranks = append(load.Ranks, RankLoad{Known: true, Requests: n, Slowdown: 1})
	}
	return load
}

// enqueueN enqueues n requests at the same time and returns the decisions.
func enqueueN(d *Dispatcher, prefix string, n int, now time.Time) []Decision {
	var out []Decision
	for i := range n {
		out = append(out, d.Enqueue(request(fmt.Sprint(prefix, i), now), now)...)
	}
	return out
}

// dispatchedTo returns the number of requests dispatched to each upstream. It fails on a
// refusal.
func dispatchedTo(t *testing.T, decisions []Decision) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for _, d := range decisions {
		if d.Refusal != nil {
			t.Fatalf("%s refused: %v", d.ID, d.Refusal)
		}
		out[d.Upstream.ID]++
	}
	return out
}
