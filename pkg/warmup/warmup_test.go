package warmup

import (
	"testing"
	"time"
)

const healthy = 20 * time.Millisecond

// drive observes n steps of one duration, each on four responses, and after each step a
// sample of a busy upstream.
func drive(l *Limiter, n int, took time.Duration, s Sample, now time.Time) time.Time {
	for range n {
		now = now.Add(took)
		for range 4 {
			l.ObserveStep(took, now)
		}
		s.Running = l.Limit()
		l.Observe(s, now)
	}
	return now
}

func TestLimit(t *testing.T) {
	cfg := Config{Min: 1, Max: 16, HealthyStep: healthy, MinGrowInterval: 200 * time.Millisecond}
	for _, tc := range []struct {
		name  string
		event func(l *Limiter, now time.Time)
		want  int
	}{
		{"stays while steps are healthy", func(l *Limiter, now time.Time) { drive(l, 50, healthy, Sample{Incarnation: "a"}, now) }, 16},
		{"falls to the minimum on cold steps despite a warm report", func(l *Limiter, now time.Time) { drive(l, 3, 3*healthy, Sample{Incarnation: "a"}, now) }, 1},
		{"counts one slow step on many responses once", func(l *Limiter, now time.Time) { drive(l, 1, 3*healthy, Sample{Incarnation: "a"}, now) }, 16},
		{"halves on slightly slow steps", func(l *Limiter, now time.Time) { drive(l, 3, healthy*5/4, Sample{Incarnation: "a"}, now) }, 8},
		{"falls to the minimum on a cold report", func(l *Limiter, now time.Time) { l.Observe(Sample{Incarnation: "a", Cold: true}, now) }, 1},
		{"falls to the minimum on a restart", func(l *Limiter, now time.Time) { l.Observe(Sample{Incarnation: "b"}, now) }, 1},
		{"falls to the minimum on a broken call", func(l *Limiter, now time.Time) { l.ObserveBrokenCall(now) }, 1},
		{"doesn't grow on healthy reports without healthy steps", func(l *Limiter, now time.Time) {
			l.ObserveBrokenCall(now)
			for range 20 {
				now = now.Add(time.Second)
				l.Observe(Sample{Incarnation: "a", Step: healthy, Running: 1}, now)
			}
		}, 1},
	} {
		l := New(cfg)
		now := drive(l, 500, healthy, Sample{Incarnation: "a"}, time.Unix(0, 0))
		if l.Limit() != cfg.Max {
			t.Fatalf("the limit of a warm upstream is %d, not the maximum", l.Limit())
		}
		tc.event(l, now)
		if l.Limit() != tc.want {
			t.Errorf("%s: limit %d, want %d", tc.name, l.Limit(), tc.want)
		}
	}
}
