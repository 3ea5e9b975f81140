package selection

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// simulate sends requests to three groups, of which the first is slowed down by a
// straggler, and returns the share of requests that this group receives and the mean
// duration of a request in seconds. The step time of a group grows with the number of
// its running requests, and is multiplied by the slowdown of the group. If reported is
// true, the slow group reports its slowdown as skew.
func simulate(slowdown float64, reported bool) (share, mean float64) {
	const (
		requests         = 20000
		tokens           = 32
		limit            = 16
		meanInterarrival = 40 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	policy := &TwoChoices{Limits: Limits{MaxReportAge: time.Hour}, Rand: rand.New(rand.NewPCG(2, 2))}
	now := time.Unix(1000, 0)
	ends := make([][]time.Time, 3)
	sent := make([]int, 3)
	total := 0.0
	for range requests {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(meanInterarrival)))
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

// TestSlowGroupReceivesFewerRequests checks that the reported skew of a slow group
// reduces its share of requests and the mean duration of all requests.
func TestSlowGroupReceivesFewerRequests(t *testing.T) {
	for _, slowdown := range []float64{1, 1.5, 2, 3} {
		unreportedShare, unreportedMean := simulate(slowdown, false)
		share, mean := simulate(slowdown, true)
		t.Logf("slowdown %.1f: share %.3f, mean %.3f s; without the reported skew: %.3f, %.3f s", slowdown, share, mean, unreportedShare, unreportedMean)
		if slowdown == 1 && math.Abs(share-1.0/3) > 0.02 {
			t.Errorf("one of three equal groups received a share of %.3f", share)
		}
		if slowdown > 1 && (share >= unreportedShare || mean >= unreportedMean) {
			t.Errorf("slowdown %.1f: the reported skew did not reduce both the share and the mean duration", slowdown)
		}
	}
}
