package lockstep

import (
	"context"
	"math"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// maxDirectQueries is the largest number of ranks that are queried without a relay. For
// so few ranks a relay saves the coordinator's host no more than a call costs it.
const maxDirectQueries = 8

// chunks splits the ranks to query into chunks. The number of chunks and the size of
// each are about the square root of the number of ranks, so that no agent sends many
// queries. Up to maxDirectQueries ranks get a chunk of their own each.
func chunks(list []target) [][]target {
	size := 1
	if len(list) > maxDirectQueries {
		size = int(math.Ceil(math.Sqrt(float64(len(list)))))
	}
	var out [][]target
	for start := 0; start < len(list); start += size {
		out = append(out, list[start:min(start+size, len(list))])
	}
	return out
}

// fanOutQuery sends a query to many ranks, relayed by some of their agents, and calls
// handle with the replies of each chunk as they arrive. Ranks whose agents are
// unresponsive are queried one by one.
func (a *Agent) fanOutQuery(ctx context.Context, q query, list []target, handle func([]reply)) {
	var responsive []target
	for _, t := range list {
		if a.unresponsive.contains(t.Rank, time.Now()) {
			go func() { handle([]reply{a.queryRank(ctx, q, t)}) }()
			continue
		}
		responsive = append(responsive, t)
	}
	for _, chunk := range chunks(responsive) {
		go func() { handle(a.queryChunk(ctx, q, chunk)) }()
	}
}

// queryRank sends a query for one rank and returns the reply with the rank's number.
func (a *Agent) queryRank(ctx context.Context, q query, t target) reply {
	out := a.forwardQuery(ctx, &q, t)
	out.Rank = t.Rank
	return out
}

// queryChunk queries the ranks of a chunk, relayed by the agent of the first one. If
// that agent does not respond, all ranks of the chunk are reported as unanswered.
func (a *Agent) queryChunk(ctx context.Context, q query, chunk []target) []reply {
	relay := chunk[0]
	if len(chunk) == 1 {
		return []reply{a.queryRank(ctx, q, relay)}
	}
	q.Targets = chunk
	out, err := a.call(ctx, relay.Agent, &q, relayTimeout)
	if err == nil && len(out) == len(chunk) {
		return out
	}
	a.unresponsive.add(relay.Rank, time.Now())
	out = make([]reply, len(chunk))
	for i, t := range chunk {
		out[i] = reply{Rank: t.Rank, Outcome: holdswitch.OutcomeUnanswered}
	}
	return out
}
