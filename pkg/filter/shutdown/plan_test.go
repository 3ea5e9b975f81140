package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"
)

var begun = time.Unix(1_800_000_000, 0)

// TestLastRequestHasTimeToFinish guards against streams that are cut at the end of the
// process: an entry with a grace period of 8 s accepted a request 4.7 s after SIGTERM and
// cut its stream 2.5 s later. A stream takes about a second, plus up to two stalls of its
// group of 1.5 s each. The load balancer directs callers to the entry for up to 2.2 s.
func TestLastRequestHasTimeToFinish(t *testing.T) {
	const (
		grace          = 8 * time.Second
		maxRequestTime = 4 * time.Second
		redirectTime   = 2200 * time.Millisecond
	)
	p := NewPlan(begun, grace)
	if p.EndAt.Sub(p.RedirectedAt) < maxRequestTime {
		t.Errorf("a request that is accepted %v after SIGTERM is ended %v later", p.RedirectedAt.Sub(begun), p.EndAt.Sub(p.RedirectedAt))
	}
	if p.RedirectedAt.Sub(begun) < redirectTime {
		t.Errorf("requests are refused %v after SIGTERM, but callers arrive for %v", p.RedirectedAt.Sub(begun), redirectTime)
	}
	if !p.EndAt.Before(p.ExitAt) || p.ExitAt.Sub(begun) >= grace {
		t.Errorf("requests end after %v, the process after %v of %v", p.EndAt.Sub(begun), p.ExitAt.Sub(begun), grace)
	}
}

// TestRequestsThatCantEndInTimeAreRefused guards against requests that a stopping entry passes
// on and cuts at the end of its grace period.
func TestRequestsThatCantEndInTimeAreRefused(t *testing.T) {
	p := NewPlan(begun, 8*time.Second)
	second := Estimate{Usual: time.Second, Longest: 2 * time.Second}
	slow := Estimate{Usual: 6 * time.Second, Longest: 7 * time.Second}
	for _, tc := range []struct {
		name       string
		at, limit  time.Duration
		repeatable bool
		estimate   *Estimate
		want       bool
	}{
		{"its caller stops waiting in time", 6 * time.Second, time.Second, false, nil, true},
		{"its caller stops waiting too late", 7 * time.Second, time.Second, false, nil, false},
		{"nothing is known", 0, 8 * time.Second, true, nil, false},
		{"short responses", time.Second, 8 * time.Second, true, &second, true},
		{"long responses", 2 * time.Second, 8 * time.Second, true, &slow, false},
		{"the slowest response would be in time", time.Second, 8 * time.Second, false, &second, true},
		{"short responses, late", 3 * time.Second, 8 * time.Second, true, &second, false},
		{"work that can't be repeated, late", 3 * time.Second, 8 * time.Second, false, &second, false},
		{"the slowest response would be too late", time.Second, 8 * time.Second, false, &Estimate{Usual: time.Second, Longest: 5 * time.Second}, false},
		{"the same for work that can be repeated", time.Second, 8 * time.Second, true, &Estimate{Usual: time.Second, Longest: 5 * time.Second}, true},
		{"after the end", 8 * time.Second, 10 * time.Millisecond, true, &second, false},
	} {
		now := begun.Add(tc.at)
		a := Arrival{Deadline: now.Add(tc.limit), Repeatable: tc.repeatable}
		if tc.estimate != nil {
			a.Estimate, a.Estimated = *tc.estimate, true
		}
		if got := p.Accepts(a, now); got != tc.want {
			t.Errorf("%s: accepted %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestAcceptedRequestsEndBeforeTheProcess plays stops with grace periods from 2 to 30 s. Requests
// take as long as the latest ones did, or longer than anything known if they arrive late. No
// accepted one may still run at its end unless its caller has stopped waiting, but for one in
// twenty of those that may be repeated and arrive early. In calm nearly all that arrive before
// callers are directed elsewhere have to be accepted.
func TestAcceptedRequestsEndBeforeTheProcess(t *testing.T) {
	arrived, accepted, repeatable, ended := 0, 0, 0, 0
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 2))
		grace := 2*time.Second + time.Duration(r.Int64N(int64(28*time.Second)))
		p := NewPlan(begun, grace)
		usual := time.Duration(r.Int64N(int64(grace / 2)))
		var d durations
		slowest := time.Duration(0)
		for range 100 {
			took := usual/2 + time.Duration(r.Int64N(int64(usual/2)+1))
			d.add(took, begun.Add(-time.Second))
			slowest = max(slowest, took)
		}
		for range 200 {
			now := begun.Add(time.Duration(r.Int64N(int64(grace))))
			a := Arrival{Deadline: now.Add(time.Duration(r.Int64N(int64(grace)))), Repeatable: r.IntN(2) == 0}
			a.Estimate, a.Estimated = d.estimate(now)
			took := time.Duration(r.Int64N(int64(slowest)))
			if !now.Before(p.RedirectedAt) {
				took += time.Duration(r.Int64N(int64(grace)))
			}
			ok := p.Accepts(a, now)
			if ok && a.Repeatable {
				repeatable++
			}
			if ok && now.Add(took).After(p.EndAt) && a.Deadline.After(p.EndAt) {
				if ended++; a.Repeatable && now.Before(p.RedirectedAt) {
					continue
				}
				t.Fatalf("seed %d: a request that arrives %v after SIGTERM and takes %v is accepted, grace period %v", seed, now.Sub(begun), took, grace)
			}
			if now.Before(p.RedirectedAt) && 4*slowest < grace {
				arrived++
				if ok {
					accepted++
				}
			}
		}
	}
	if float64(ended) > 0.05*float64(repeatable) {
		t.Errorf("%d of %d accepted requests that may be repeated still ran at the end", ended, repeatable)
	}
	if float64(accepted) < 0.99*float64(arrived) {
		t.Errorf("%d of %d early requests with short responses were accepted", accepted, arrived)
	}
}

// TestEstimateNeedsRecentResponses checks that few or old responses give no estimate, and that
// the memory is bounded.
func TestEstimateNeedsRecentResponses(t *testing.T) {
	var d durations
	for i := range minSamples {
		if _, ok := d.estimate(begun); ok {
			t.Errorf("an estimate from %d responses", i)
		}
		d.add(time.Duration(i)*time.Second, begun)
	}
	e, ok := d.estimate(begun.Add(sampleTime))
	if want := (minSamples - 1) * time.Second; !ok || e.Longest != want || e.Usual >= e.Longest {
		t.Errorf("estimate %+v, %v; want a longest response of %v", e, ok, want)
	}
	if _, ok := d.estimate(begun.Add(sampleTime + 1)); ok {
		t.Error("an estimate from old responses")
	}
	for range 3 * maxSamples {
		d.add(time.Second, begun.Add(time.Second))
	}
	if e, _ := d.estimate(begun.Add(time.Second)); len(d.samples) != maxSamples || e.Longest != time.Second {
		t.Errorf("%d samples, estimate %+v", len(d.samples), e)
	}
}
