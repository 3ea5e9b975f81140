// Package load sends open-loop traffic to entries, so that a slow answer never
// slows the arrivals, and checks that every answer is whole.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is the kind of work that is sent.
type Kind string

// Kinds of work.
const (
	// Chat is a streamed chat completion.
	Chat Kind = "chat"
	// Counter is a streamed chat completion for a buyer at the counter, counted
	// apart from Chat.
	Counter Kind = "counter"
	// Draft is a chat completion whose answer comes in one piece.
	Draft Kind = "draft"
	// Status is an idempotent call of a plain service.
	Status Kind = "status"
	// Confirm is a call that is not idempotent.
	Confirm Kind = "confirm"
)

// Config is the settings of one organisation's traffic.
type Config struct {
	Entries []string
	// Direct calls upstreams in place of entries.
	Direct       bool
	Organisation string
	Token        string
	Kind         Kind
	// PerSecond is the rate of arrivals.
	PerSecond float64
	// Tokens is the length of a chat completion's answer.
	Tokens  int
	Model   string
	Service string
	// Deadline is the time limit of a request; 0 sends none. A complete answer
	// that takes longer is late.
	Deadline time.Duration
	// FirstToken is the time beyond which the first token of a streamed answer
	// is late; 0 sets no limit.
	FirstToken time.Duration
	// Resend makes a request whose connection to its entry breaks go once more
	// through another entry, as a caller's client does.
	Resend bool
	// Poisson draws the gaps between arrivals from an exponential distribution,
	// seeded by Seed. Otherwise arrivals are evenly spaced.
	Poisson bool
	Seed    uint64
}

// maxLatency is the largest latency that is recorded, in microseconds.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// Run sends traffic until ctx ends, waits for the answers and returns what
// became of them.
func Run(ctx context.Context, cfg Config) Result {
	s := &sender{cfg: cfg, result: Result{
		Organisation: cfg.Organisation,
		Kind:         cfg.Kind,
		FirstToken:   hdrhistogram.New(1, maxLatency, 3),
		Latency:      hdrhistogram.New(1, maxLatency, 3),
	}}
	arrivals := arrivals{cfg: &cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0)), due: time.Now()}
	for i := 0; ; i++ {
		timer := time.NewTimer(time.Until(arrivals.next()))
		select {
		case <-ctx.Done():
			timer.Stop()
			s.group.Wait()
			return s.result
		case <-timer.C:
			s.result.Sent++
			s.group.Go(func() { s.one(i) })
		}
	}
}

// arrivals draws the times at which requests are due. They don't depend on the
// answers.
type arrivals struct {
	cfg  *Config
	rand *rand.Rand
	due  time.Time
}

func (a *arrivals) next() time.Time {
	gap := 1.0
	if a.cfg.Poisson {
		gap = a.rand.ExpFloat64()
	}
	a.due = a.due.Add(time.Duration(gap * float64(time.Second) / a.cfg.PerSecond))
	return a.due
}

type sender struct {
	cfg    Config
	group  sync.WaitGroup
	mu     sync.Mutex
	result Result
}

// answerTimeout bounds the wait for an answer.
const answerTimeout = 30 * time.Second

// one sends one request and records what became of it.
func (s *sender) one(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	begin := time.Now()
	key := newKey()
	a, err := s.send(ctx, s.entry(i), key, begin)
	resent := false
	for n := 1; err != nil && s.mayResend(err, resent) && n < len(s.cfg.Entries); n++ {
		resent = resent || !notConnected(err)
		a, err = s.send(ctx, s.entry(i+n), key, begin)
	}
	sample := s.cfg.sample(a, err)
	sample.At, sample.Duration, sample.Resent = begin, time.Since(begin), resent
	sample.InDeadline = s.cfg.Deadline == 0 || sample.Duration <= s.cfg.Deadline
	if sample.Outcome == Complete && !sample.InDeadline {
		sample.Outcome = Late
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.add(sample, a.tokens)
}

func (s *sender) entry(i int) string { return s.cfg.Entries[i%len(s.cfg.Entries)] }

// mayResend reports whether a request goes through another entry. One that
// reached no entry always does, as through a balancer.
func (s *sender) mayResend(err error, resent bool) bool {
	return s.cfg.Resend && (notConnected(err) || !resent)
}
