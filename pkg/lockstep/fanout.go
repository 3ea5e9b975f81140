package lockstep

import (
	"context"
	"math"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// leastRelayed is how many ranks are asked through another agent at least. A call
// costs the coordinator's host about as much as the relay saves for fewer.
const leastRelayed = 8

// chunks splits the ranks to ask into about as many parts as each part has ranks,
// so that nobody asks many. Few ranks are asked one by one.
func chunks(list []target) [][]target {
	size := 1
	if len(list) > leastRelayed {
		size = int(math.Ceil(math.Sqrt(float64(len(list)))))
	}
	var out [][]target
	for start := 0; start < len(list); start += size {
		out = append(out, list[start:min(start+size, len(list))])
	}
	return out
}

// fanOut asks ranks, many of them through others, and hands on the answers as they
// come.
func (a *Agent) fanOut(ctx context.Context, q ask, list []target, take func([]answer)) {
	var speaking []target
	for _, t := range list {
		if a.silent.is(t.Rank, time.Now()) {
			go func() { take([]answer{a.askRank(ctx, q, t)}) }()
			continue
		}
		speaking = append(speaking, t)
	}
	for _, chunk := range chunks(speaking) {
		go func() { take(a.askChunk(ctx, q, chunk)) }()
	}
}

func (a *Agent) askRank(ctx context.Context, q ask, t target) answer {
	out := a.askOne(ctx, &q, t)
	out.Rank = t.Rank
	return out
}

// askChunk asks ranks through the first one's agent.
func (a *Agent) askChunk(ctx context.Context, q ask, chunk []target) []answer {
	head := chunk[0]
	if len(chunk) == 1 {
		return []answer{a.askRank(ctx, q, head)}
	}
	q.Ranks = chunk
	out, err := a.call(ctx, head.Agent, &q, relayTimeout)
	if err == nil && len(out) == len(chunk) {
		return out
	}
	a.silent.mark(head.Rank, time.Now())
	out = make([]answer, len(chunk))
	for i, t := range chunk {
		out[i] = answer{Rank: t.Rank, Verdict: holdswitch.OutcomeUnanswered}
	}
	return out
}
