package warmup

import (
	"testing"
	"time"
)

const healthy = 20 * time.Millisecond

// drive feeds n steps of one length, each seen on four answers, and a sample of a
// busy upstream after each.
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
	cfg := Config{Min: 1, Max: 16, HealthyStep: healthy, GrowEvery: 200 * time.Millisecond}
	for _, c := range []struct {
		name   string
		happen func(l *Limiter, now time.Time)
		want   int
	}{
		{"stays while healthy", func(l *Limiter, now time.Time) { drive(l, 50, healthy, Sample{Incarnation: "a"}, now) }, 16},
		{"falls at once on cold steps, against its own report", func(l *Limiter, now time.Time) { drive(l, 3, 3*healthy, Sample{Incarnation: "a"}, now) }, 1},
		{"takes one slow step on many answers as one", func(l *Limiter, now time.Time) { drive(l, 1, 3*healthy, Sample{Incarnation: "a"}, now) }, 16},
		{"halves on steps that are a little slow", func(l *Limiter, now time.Time) { drive(l, 3, healthy*5/4, Sample{Incarnation: "a"}, now) }, 8},
		{"falls on a report of cold", func(l *Limiter, now time.Time) { l.Observe(Sample{Incarnation: "a", Cold: true}, now) }, 1},
		{"falls on a restart", func(l *Limiter, now time.Time) { l.Observe(Sample{Incarnation: "b"}, now) }, 1},
		{"falls on a broken call", func(l *Limiter, now time.Time) { l.ObserveBrokenCall(now) }, 1},
		{"doesn't grow on a stale healthy report", func(l *Limiter, now time.Time) {
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
			t.Fatalf("the warm limit is %d", l.Limit())
		}
		c.happen(l, now)
		if l.Limit() != c.want {
			t.Errorf("%s: limit %d, want %d", c.name, l.Limit(), c.want)
		}
	}
}
