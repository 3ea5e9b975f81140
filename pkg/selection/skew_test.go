package selection

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// simulate sends requests to three groups, one of which a straggler slows, and
// returns the straggler's part of the requests and the mean time of a request.
// A group's step takes longer the more it runs, times its skew.
func simulate(slowdown float64, reported bool) (part, mean float64) {
	const (
		requests = 20000
		tokens   = 32
		limit    = 16
		arrivals = 40 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	policy := &TwoChoices{Limits: Limits{MaxReportAge: time.Hour}, Rand: rand.New(rand.NewPCG(2, 2))}
	now := time.Unix(1000, 0)
	ends := make([][]time.Time, 3)
	sent := make([]int, 3)
	total := 0.0
	for range requests {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(arrivals)))
		candidates := make([]Candidate, 3)
		for i := range candidates {
			var running []time.Time
			for _, end := range ends[i] {
				if end.After(now) {
					running = append(running, end)
				}
			}
			ends[i] = running
			candidates[i] = Candidate{ReceivedAt: now, Report: api.Report{Ready: true, Limit: limit, Running: len(running), Skew: 1}}
		}
		if reported {
			candidates[0].Report.Skew = slowdown
		}
		chosen := policy.Choose(candidates, Request{}, now)
		if chosen < 0 {
			continue
		}
		step := 10*time.Millisecond + time.Duration(len(ends[chosen]))*time.Millisecond
		if chosen == 0 {
			step = time.Duration(float64(step) * slowdown)
		}
		sent[chosen]++
		total += (tokens * step).Seconds()
		ends[chosen] = append(ends[chosen], now.Add(tokens*step))
	}
	all := float64(sent[0] + sent[1] + sent[2])
	return float64(sent[0]) / all, total / all
}

func TestSlowedGroupGetsLess(t *testing.T) {
	for _, slowdown := range []float64{1, 1.5, 2, 3} {
		blindPart, blindMean := simulate(slowdown, false)
		part, mean := simulate(slowdown, true)
		t.Logf("slowed %.1f times: part %.3f, mean %.3f s; without the skew: %.3f, %.3f s", slowdown, part, mean, blindPart, blindMean)
		if slowdown == 1 && math.Abs(part-1.0/3) > 0.02 {
			t.Errorf("an equal group got %.3f of the requests", part)
		}
		if slowdown > 1 && (part >= blindPart || mean >= blindMean) {
			t.Errorf("slowed %.1f times: the skew didn't help", slowdown)
		}
	}
}
