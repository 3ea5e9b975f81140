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

// Organisation describes the traffic of one organisation.
type Organisation struct {
	Name     string
	Weight   int
	Priority bool
	// Outstanding is how many requests a saturating organisation keeps open, 0
	// for one that sends at a rate.
	Outstanding int
	// Rate is the mean arrival rate in requests a second.
	Rate float64
	// Start and Stop limit the time of the traffic. Stop 0 means the end of the
	// run.
	Start, Stop time.Duration
	// EntryShares is the share of the traffic that goes to each entry. Empty
	// means equal shares.
	EntryShares []float64
	// PromptTokens and OutputTokens are the mean numbers of tokens; both vary by
	// half.
	PromptTokens, OutputTokens int
	// Deadline is the time limit of each request.
	Deadline time.Duration
	// Prefixes is how many prompt prefixes the organisation uses, and
	// PrefixTokens the length of each.
	Prefixes, PrefixTokens int
}

// Config holds the settings of a run.
type Config struct {
	Seed           uint64
	Duration       time.Duration
	Entries        int
	Upstreams      int
	NetworkDelay   time.Duration
	ReportInterval time.Duration
	SampleInterval time.Duration
	Engine         EngineConfig
	Warmup         warmup.Config
	// Reserved is the capacity that is reserved for priority requests at each
	// upstream, or at the first ReservedUpstreams if that is set.
	Reserved          int
	ReservedUpstreams int
	Scheduler         scheduler.Config
	Organisations     []Organisation
	// Policy returns the selection policy of an entry. Default: two choices.
	Policy func(r *rand.Rand) selection.Policy
	// Limits are the limits of the default policy, and MaxQueued is the limit of
	// each agent queue.
	Limits    selection.Limits
	MaxQueued int
	// NoShares disables the exchange of attained service between entries.
	NoShares bool
	// NoStepTimes disables the step times and failed calls that agents observe
	// themselves.
	NoStepTimes bool
	// MeasureFrom excludes earlier first tokens from the results.
	MeasureFrom time.Duration
	// IdleBefore is the idle time before the first request of the run.
	IdleBefore time.Duration
	// Events are the changes to the state of engines during the run.
	Events []Event
}

// Event changes the state of one engine at a time of the run.
type Event struct {
	At       time.Duration
	Upstream int
	Kind     EventKind
}

// EventKind is the kind of a change to an engine.
type EventKind int

// Kinds of events.
const (
	// TurnCold makes a warm engine cold without a restart.
	TurnCold EventKind = iota
	// Restart stops the engine and starts it cold.
	Restart
	// Stop stops the engine until the end of the run.
	Stop
)

// Defaults returns the settings of 12 upstreams behind 4 entries.
func Defaults(seed uint64) Config {
	return Config{
		Seed:           seed,
		Duration:       40 * time.Second,
		Entries:        4,
		Upstreams:      12,
		NetworkDelay:   1500 * time.Microsecond,
		ReportInterval: 250 * time.Millisecond,
		SampleInterval: 200 * time.Millisecond,
		Engine: EngineConfig{
			Slots: 16, ColdSlots: 4, StepTime: 10 * time.Millisecond, StepTimePerRequest: 500 * time.Microsecond,
			StepTimePerPromptToken: 10 * time.Microsecond, MaxPrefillChunk: 512, WarmupSteps: 60, ColdSlowdown: 4,
			RestartTime: 5 * time.Second, OverloadTolerance: 2 * time.Second, ReportLag: time.Second,
		},
		Warmup:    warmup.Config{Min: 1, Max: 16, HealthyStep: 27 * time.Millisecond, MinGrowInterval: 200 * time.Millisecond},
		Limits:    selection.Limits{MaxReportAge: maxReportAge, MaxQueuedPerOrganisation: 2},
		MaxQueued: 64,
		Scheduler: scheduler.Config{MaxWaiting: 256, AvoidAfterFailure: 250 * time.Millisecond, QueueHorizon: 80 * time.Millisecond},
	}
}

// idleAfter is when the time of Config.IdleBefore starts. By then each entry has
// received a report of each agent.
const idleAfter = time.Second

// maxReportAge is the age beyond which entries ignore a report.
const maxReportAge = 2 * time.Second

// run holds the state of a run in progress.
type run struct {
	cfg          Config
	loop         *loop
	random       *rand.Rand
	entries      []*entry
	upstreams    []*upstream
	result       *Result
	requestCount int
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
	arrivedAt    time.Time
	deadline     time.Time
	// prefillLeft is the number of prompt tokens that the engine still has to
	// process, generated the number of tokens that it has generated.
	prefillLeft int
	generated   int
	attempts    int
	// prefixCached is true once the engine of an attempt had the prefix cached. It
	// stays true for later attempts.
	prefixCached bool
}

// attemptID returns the ID of the latest attempt. Each attempt has an ID of its
// own, as an agent of the simulation never removes the refusals that it records.
func (r *request) attemptID() string { return fmt.Sprintf("%s.%d", r.id, r.attempts) }

// priorityLevel orders requests in an engine; a higher level goes first.
func (r *request) priorityLevel() int {
	if r.organisation.Priority {
		return 1
	}
	return 0
}

func (r *request) actualCost() float64 { return float64(r.prompt + r.output) }

// expectedCost returns the cost that the entry assumes: the length of the prompt
// and the mean length of the organisation's responses.
func (r *request) expectedCost() float64 {
	return float64(r.prompt + r.organisation.OutputTokens)
}

// Run simulates a configuration and returns the results.
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
		r.scheduleTraffic(&r.cfg.Organisations[i])
	}
	if len(cfg.Events) > 0 {
		r.loop.every(bucketWidth, bucketWidth, r.recordRecovery)
	}
	for _, e := range cfg.Events {
		r.loop.after(e.At, func() { r.upstreams[e.Upstream].applyEvent(e.Kind) })
	}
	if cfg.IdleBefore > 0 {
		r.loop.runUntil(r.loop.now.Add(idleAfter))
		r.loop.jump(cfg.IdleBefore)
		r.result.start = r.result.start.Add(cfg.IdleBefore)
	}
	r.loop.runUntil(r.result.start.Add(cfg.Duration))
	r.result.finish(r.upstreams)
	return r.result
}

// recordRecovery extends the recovery time while the upstream of the first event
// has not recovered.
func (r *run) recordRecovery() {
	e := r.cfg.Events[0]
	u := r.upstreams[e.Upstream]
	warm := u.engine.up && u.engine.coldStepsLeft == 0 && u.gate.Report().Limit >= r.cfg.Warmup.Max/2
	if since := r.loop.now.Sub(r.result.start) - e.At; since > 0 && !warm {
		r.result.RecoveryTime = since
	}
}

// scheduleTraffic schedules the first requests of an organisation.
func (r *run) scheduleTraffic(o *Organisation) {
	if o.Outstanding > 0 {
		for range o.Outstanding {
			r.loop.after(o.Start+r.jitter(100*time.Millisecond), func() { r.sendRequest(o) })
		}
		return
	}
	if o.Rate > 0 {
		r.loop.after(o.Start+r.drawGap(o), func() { r.sendAtRate(o) })
	}
}

// sendAtRate sends a request of an organisation that sends at a rate, and
// schedules the next one.
func (r *run) sendAtRate(o *Organisation) {
	if r.hasStopped(o) {
		return
	}
	r.sendRequest(o)
	r.loop.after(r.drawGap(o), func() { r.sendAtRate(o) })
}

func (r *run) drawGap(o *Organisation) time.Duration {
	return time.Duration(r.random.ExpFloat64() / o.Rate * float64(time.Second))
}

func (r *run) hasStopped(o *Organisation) bool {
	return o.Stop > 0 && r.loop.now.Sub(r.result.start) >= o.Stop
}

func (r *run) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// sendRequest sends one request of an organisation unless its traffic has
// stopped.
func (r *run) sendRequest(o *Organisation) {
	if r.hasStopped(o) {
		return
	}
	r.requestCount++
	q := &request{
		id:           fmt.Sprintf("r%d", r.requestCount),
		organisation: o,
		entry:        r.entries[r.drawEntry(o.EntryShares)],
		prompt:       r.drawTokens(o.PromptTokens),
		output:       r.drawTokens(o.OutputTokens),
		arrivedAt:    r.loop.now,
		deadline:     r.loop.now.Add(o.Deadline),
	}
	if o.Prefixes > 0 {
		q.prefix = r.drawPrefix(o)
		q.prefixTokens = o.PrefixTokens
		q.prompt += o.PrefixTokens
	}
	r.result.organisation(o).Offered++
	q.entry.enqueue(q)
}

// drawPrefix draws the ID of a prompt prefix from a skewed distribution, in which a
// few prefixes are popular. Organisations with the same weight and names of the same
// length share their prefixes.
func (r *run) drawPrefix(o *Organisation) uint64 {
	n := int(math.Exp(r.random.Float64()*math.Log(float64(o.Prefixes+1)))) - 1
	return uint64(len(o.Name))*1_000_003 + uint64(o.Weight)*7919 + uint64(n) + 1
}

// drawTokens draws a number of tokens from half to one and a half times the mean.
func (r *run) drawTokens(mean int) int {
	return max(1, mean/2+r.random.IntN(mean+1))
}

// drawEntry draws the entry of a request according to the shares of the entries.
func (r *run) drawEntry(shares []float64) int {
	if len(shares) == 0 {
		return r.random.IntN(r.cfg.Entries)
	}
	u := r.random.Float64()
	for i, share := range shares {
		if u < share {
			return i
		}
		u -= share
	}
	return len(shares) - 1
}

// replaceRequest sends the next request of a saturating organisation in place of
// one that has ended. A refused request is replaced after its retry delay.
func (r *run) replaceRequest(q *request, retryAfter time.Duration) {
	if q.organisation.Outstanding > 0 {
		r.loop.after(retryAfter, func() { r.sendRequest(q.organisation) })
	}
}
