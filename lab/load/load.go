// Package load sends open-loop traffic to entries and checks that every response is
// complete. Slow responses don't delay later arrivals.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// KindChat is a streamed chat completion.
	KindChat Kind = "chat"
	// KindCounter is a streamed chat completion for a customer at a shop's counter. It is
	// counted separately from KindChat.
	KindCounter Kind = "counter"
	// KindDraft is a chat completion that is not streamed.
	KindDraft Kind = "draft"
	// KindStatus is an idempotent call of a plain service.
	KindStatus Kind = "status"
	// KindConfirm is a call that is not idempotent.
	KindConfirm Kind = "confirm"
)

// Config holds the settings of one organisation's traffic.
type Config struct {
	Entries []string
	// Direct sends the requests to upstreams. Entries are then their URLs.
	Direct       bool
	Organisation string
	Token        string
	Kind         Kind
	// PerSecond is the rate of arrivals in requests a second.
	PerSecond float64
	// Tokens is the requested length of a chat completion.
	Tokens  int
	Model   string
	Service string
	// Deadline is the time limit of a request; 0 sends none. A complete response that
	// takes longer is late.
	Deadline time.Duration
	// FirstTokenDeadline is the time after which the first token of a streamed response
	// is late; 0 sets no limit.
	FirstTokenDeadline time.Duration
	// Resend sends a request whose connection to its entry breaks once more through
	// another entry, as a caller's client does.
	Resend bool
	// Poisson makes the arrivals a Poisson process, seeded by Seed. Otherwise they are
	// evenly spaced.
	Poisson bool
	Seed    uint64
}

// maxLatency is the largest latency that the histograms record, in microseconds.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// Run sends traffic until ctx ends, waits for the responses and returns the result.
func Run(ctx context.Context, cfg Config) Result {
	s := &sender{cfg: cfg, result: Result{
		Organisation:     cfg.Organisation,
		Kind:             cfg.Kind,
		TimeToFirstToken: hdrhistogram.New(1, maxLatency, 3),
		Latency:          hdrhistogram.New(1, maxLatency, 3),
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
			s.group.Go(func() { s.sendAndRecord(i) })
		}
	}
}

// arrivals generates the times at which requests are due, independently of the
// responses.
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

// sender sends the requests of one organisation.
type sender struct {
	cfg    Config
	group  sync.WaitGroup
	mu     sync.Mutex
	result Result
}

// responseTimeout limits the wait for a response.
const responseTimeout = 30 * time.Second

// sendAndRecord sends request i and records its outcome.
func (s *sender) sendAndRecord(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	begin := time.Now()
	key := newIdempotencyKey()
	resp, err := s.send(ctx, s.entryURL(i), key, begin)
	resent := false
	for n := 1; err != nil && s.mayResend(err, resent) && n < len(s.cfg.Entries); n++ {
		resent = resent || !isDialError(err)
		resp, err = s.send(ctx, s.entryURL(i+n), key, begin)
	}
	sample := s.cfg.newSample(resp, err)
	sample.SentAt, sample.Duration, sample.Resent = begin, time.Since(begin), resent
	sample.InDeadline = s.cfg.Deadline == 0 || sample.Duration <= s.cfg.Deadline
	if sample.Outcome == OutcomeComplete && !sample.InDeadline {
		sample.Outcome = OutcomeLate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.record(sample, resp.tokens)
}

func (s *sender) entryURL(i int) string { return s.cfg.Entries[i%len(s.cfg.Entries)] }

// mayResend reports whether a failed request may be sent through another entry. One that
// reached no entry always may, as a load balancer before the entries would send it to
// another one. One that got a response is not sent again.
func (s *sender) mayResend(err error, resent bool) bool {
	var e *responseError
	return s.cfg.Resend && (isDialError(err) || !resent && !errors.As(err, &e))
}
