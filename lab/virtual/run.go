package virtual

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// Organisation is the load of one organisation.
type Organisation struct {
	Name     string
	Weight   int
	Priority bool
	// Outstanding is how many requests a saturating organisation keeps open; 0
	// for one that sends at a rate.
	Outstanding int
	// Rate is in requests a second.
	Rate float64
	// Start and Stop bound the traffic. Stop 0 means the end of the run.
	Start, Stop time.Duration
	// Entries is the part of the traffic that goes to each entry. Empty means
	// even.
	Entries []float64
	// Prompt and Output are the mean numbers of tokens; both vary by half.
	Prompt, Output int
	// Deadline is the time limit of each request.
	Deadline time.Duration
	// Prefixes is how many prompt prefixes the organisation uses, and
	// PrefixTokens how long each is.
	Prefixes, PrefixTokens int
}

// Config is the settings of a run.
type Config struct {
	Seed           uint64
	Duration       time.Duration
	Entries        int
	Upstreams      int
	Delay          time.Duration
	ReportInterval time.Duration
	SampleInterval time.Duration
	Engine         Engine
	Warmup         warmup.Config
	// Reserved is the reserved room of each upstream, or of the first
	// ReservedUpstreams ones.
	Reserved          int
	ReservedUpstreams int
	Scheduler         scheduler.Config
	Organisations     []Organisation
	// Policy builds an entry's policy. Default: two choices.
	Policy func(r *rand.Rand) selection.Policy
	// Limits bound the default policy, MaxQueued the agents' lines.
	Limits    selection.Limits
	MaxQueued int
	// NoShares leaves out the exchange of attained service.
	NoShares bool
	// NoStepTimes leaves out the step times that agents see themselves.
	NoStepTimes bool
	// MeasureFrom leaves out the first tokens before a time.
	MeasureFrom time.Duration
	// IdleBefore is how long nothing happens before the run's first request.
	IdleBefore time.Duration
	// Events happen to the run's engines at their times.
	Events []Event
}

// Event is something that happens to an engine.
type Event struct {
	At       time.Duration
	Upstream int
	Kind     EventKind
}

// EventKind says what happens to an engine.
type EventKind int

// Kinds of events.
const (
	// TurnCold makes a warm engine cold without a restart.
	TurnCold EventKind = iota
	// Restart stops the engine and starts it cold.
	Restart
	// Stop stops the engine for good.
	Stop
)

// Defaults returns the settings of a dozen replicas behind four entries.
func Defaults(seed uint64) Config {
	return Config{
		Seed:           seed,
		Duration:       40 * time.Second,
		Entries:        4,
		Upstreams:      12,
		Delay:          1500 * time.Microsecond,
		ReportInterval: 250 * time.Millisecond,
		SampleInterval: 200 * time.Millisecond,
		Engine: Engine{
			Slots: 16, ColdSlots: 4, Step: 10 * time.Millisecond, StepPerRequest: 500 * time.Microsecond,
			PromptToken: 10 * time.Microsecond, ChunkTokens: 512, WarmSteps: 60, ColdFactor: 4,
			RestartTime: 5 * time.Second, OverloadTolerance: 2 * time.Second, ReportLag: time.Second,
		},
		Warmup:    warmup.Config{Min: 1, Max: 16, HealthyStep: 27 * time.Millisecond, GrowEvery: 200 * time.Millisecond},
		Limits:    selection.Limits{MaxReportAge: maxReportAge, MaxQueuedPerOrganisation: 2},
		MaxQueued: 64,
		Scheduler: scheduler.Config{MaxWaiting: 256, AvoidAfterFailure: 250 * time.Millisecond, QueueHorizon: 80 * time.Millisecond},
	}
}

// silenceAfter is when the silence starts: all hosts have met.
const silenceAfter = time.Second

// maxReportAge is the age beyond which a report is not used.
const maxReportAge = 2 * time.Second

// run is a run in progress.
type run struct {
	cfg       Config
	loop      *loop
	random    *rand.Rand
	entries   []*entry
	upstreams []*upstream
	result    *Result
	requests  int
}

// request is one request of an organisation.
type request struct {
	id           string
	organisation *Organisation
	entry        *entry
	prompt       int
	output       int
	prefix       uint64
	prefixTokens int
	arrived      time.Time
	deadline     time.Time
	prefill      int
	generated    int
	attempts     int
	cached       bool
}

// attempt names the latest attempt. Each has a name of its own, as a virtual
// agent keeps its refusals for good.
func (r *request) attempt() string { return fmt.Sprintf("%s.%d", r.id, r.attempts) }

// rank orders requests in an engine.
func (r *request) rank() int {
	if r.organisation.Priority {
		return 1
	}
	return 0
}

func (r *request) cost() float64 { return float64(r.prompt + r.output) }

// expected returns the cost that the entry assumes: the prompt, and the mean
// length of the organisation's answers.
func (r *request) expected() float64 {
	return float64(r.prompt + r.organisation.Output)
}

// Run runs a configuration.
func Run(cfg Config) *Result {
	r := &run{
		cfg:    cfg,
		loop:   newLoop(),
		random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		result: newResult(cfg),
	}
	r.result.start = r.loop.now
	for i := range cfg.Upstreams {
		r.upstreams = append(r.upstreams, newUpstream(r, i))
	}
	for i := range cfg.Entries {
		r.entries = append(r.entries, newEntry(r, i))
	}
	for i := range cfg.Organisations {
		r.traffic(&r.cfg.Organisations[i])
	}
	if len(cfg.Events) > 0 {
		r.loop.every(bucket, bucket, r.watch)
	}
	for _, e := range cfg.Events {
		r.loop.after(e.At, func() { r.upstreams[e.Upstream].happen(e.Kind) })
	}
	if cfg.IdleBefore > 0 {
		r.loop.runUntil(r.loop.now.Add(silenceAfter))
		r.loop.jump(cfg.IdleBefore)
		r.result.start = r.result.start.Add(cfg.IdleBefore)
	}
	r.loop.runUntil(r.result.start.Add(cfg.Duration))
	r.result.finish(r.upstreams)
	return r.result
}

// watch notes whether the upstream of the first event has recovered.
func (r *run) watch() {
	e := r.cfg.Events[0]
	u := r.upstreams[e.Upstream]
	warm := u.engine.up && u.engine.coldSteps == 0 && u.gate.Report().Limit >= r.cfg.Warmup.Max/2
	if since := r.loop.now.Sub(r.result.start) - e.At; since > 0 && !warm {
		r.result.RecoveryTime = since
	}
}

// traffic schedules the requests of an organisation.
func (r *run) traffic(o *Organisation) {
	if o.Outstanding > 0 {
		for range o.Outstanding {
			r.loop.after(o.Start+r.jitter(100*time.Millisecond), func() { r.arrive(o) })
		}
		return
	}
	if o.Rate > 0 {
		r.loop.after(o.Start+r.gap(o), func() { r.next(o) })
	}
}

// next sends a request of an organisation that sends at a rate.
func (r *run) next(o *Organisation) {
	if r.over(o) {
		return
	}
	r.arrive(o)
	r.loop.after(r.gap(o), func() { r.next(o) })
}

func (r *run) gap(o *Organisation) time.Duration {
	return time.Duration(r.random.ExpFloat64() / o.Rate * float64(time.Second))
}

func (r *run) over(o *Organisation) bool {
	return o.Stop > 0 && r.loop.now.Sub(r.result.start) >= o.Stop
}

func (r *run) jitter(most time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(most)))
}

// arrive sends one request of an organisation.
func (r *run) arrive(o *Organisation) {
	if r.over(o) {
		return
	}
	r.requests++
	q := &request{
		id:           fmt.Sprintf("r%d", r.requests),
		organisation: o,
		entry:        r.entries[r.choose(o.Entries)],
		prompt:       r.vary(o.Prompt),
		output:       r.vary(o.Output),
		arrived:      r.loop.now,
		deadline:     r.loop.now.Add(o.Deadline),
	}
	if o.Prefixes > 0 {
		q.prefix = r.prefix(o)
		q.prefixTokens = o.PrefixTokens
		q.prompt += o.PrefixTokens
	}
	r.result.of(o).Offered++
	q.entry.arrive(q)
}

// prefix draws a prompt prefix; a few are popular.
func (r *run) prefix(o *Organisation) uint64 {
	n := int(math.Exp(r.random.Float64()*math.Log(float64(o.Prefixes+1)))) - 1
	return uint64(len(o.Name))*1_000_003 + uint64(o.Weight)*7919 + uint64(n) + 1
}

// vary returns a number of tokens around a mean.
func (r *run) vary(mean int) int {
	return max(1, mean/2+r.random.IntN(mean+1))
}

// choose returns the entry of a request.
func (r *run) choose(parts []float64) int {
	if len(parts) == 0 {
		return r.random.IntN(r.cfg.Entries)
	}
	u := r.random.Float64()
	for i, p := range parts {
		if u < p {
			return i
		}
		u -= p
	}
	return len(parts) - 1
}

// done ends a request; a saturating organisation sends the next one.
func (r *run) done(q *request, refused time.Duration) {
	if q.organisation.Outstanding > 0 {
		r.loop.after(refused, func() { r.arrive(q.organisation) })
	}
}
