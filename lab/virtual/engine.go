package virtual

import (
	"slices"
	"strconv"
	"time"
)

// Engine is the settings of a model engine.
type Engine struct {
	// Slots is how many requests a warm engine runs at once.
	Slots int
	// ColdSlots is how many a cold engine bears before it falls over.
	ColdSlots int
	// Step is the time of a step with an empty batch, StepPerRequest what each
	// running request adds, and PromptToken what each new prompt token adds.
	Step           time.Duration
	StepPerRequest time.Duration
	PromptToken    time.Duration
	// ChunkTokens is the most prompt tokens of one step.
	ChunkTokens int
	// WarmSteps is how many steps it takes to become warm, ColdFactor how much
	// slower a cold step is.
	WarmSteps  int
	ColdFactor float64
	// RestartTime is how long an engine that fell over is away.
	RestartTime time.Duration
	// OverloadTolerance is how long a cold engine bears more than ColdSlots.
	OverloadTolerance time.Duration
	// ReportLag is the lag of the engine's own report of its load.
	ReportLag time.Duration
	// Preempt lets priority work swap out other running work.
	Preempt bool
	// CacheBlocks is how many prompt prefixes the engine keeps.
	CacheBlocks int
}

// engine is a model engine that batches continuously.
type engine struct {
	cfg         Engine
	loop        *loop
	incarnation int
	up          bool
	stepping    bool
	coldSteps   int
	running     []*request
	waiting     []*request
	lastStep    time.Duration
	reported    load
	cache       []uint64
	// fallen counts how often the engine fell over, lost the work it lost.
	fallen int
	lost   int
	// swapped counts requests that were swapped out for priority work.
	swapped int
	// got counts all requests.
	got int
	// excess counts requests that a cold engine got beyond what it bears.
	excess       int
	tooMuchSince time.Time

	onToken func(r *request, tokens int)
	onDone  func(r *request)
	onLost  func(r *request)
	onStep  func(took time.Duration)
}

// load is an engine's own report.
type load struct {
	incarnation string
	step        time.Duration
	cold        bool
}

// start starts the engine; warm engines need no warm-up.
func (e *engine) start(warm bool) {
	e.incarnation++
	e.up = true
	e.cache = nil
	e.coldSteps = e.cfg.WarmSteps
	if warm {
		e.coldSteps = 0
	}
	e.publish()
}

// chill makes a warm engine cold, without a restart.
func (e *engine) chill() { e.coldSteps = e.cfg.WarmSteps }

// publish makes the present load the report after the lag.
func (e *engine) publish() {
	l := load{incarnation: strconv.Itoa(e.incarnation), step: e.lastStep, cold: e.coldSteps > 0}
	e.loop.after(e.cfg.ReportLag, func() { e.reported = l })
}

// add gives the engine a request.
func (e *engine) add(r *request) {
	e.got++
	r.prefill = e.uncached(r)
	if e.coldSteps > 0 && len(e.running)+len(e.waiting) >= e.cfg.ColdSlots {
		e.excess++
	}
	e.waiting = append(e.waiting, r)
	e.schedule()
}

// uncached returns the prompt tokens that aren't in the cache, and caches them.
func (e *engine) uncached(r *request) int {
	if r.prefix == 0 || e.cfg.CacheBlocks == 0 {
		return r.prompt
	}
	i := slices.Index(e.cache, r.prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		r.cached = true
	}
	e.cache = append(e.cache, r.prefix)
	if len(e.cache) > e.cfg.CacheBlocks {
		e.cache = e.cache[1:]
	}
	if r.cached {
		return max(1, r.prompt-r.prefixTokens)
	}
	return r.prompt
}

func (e *engine) schedule() {
	if e.stepping || !e.up || len(e.running)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	e.fill()
	if e.overloaded() {
		e.stepping = false
		e.fall()
		return
	}
	took, batch := e.stepTime(), slices.Clone(e.running)
	incarnation := e.incarnation
	e.loop.after(took, func() {
		if incarnation == e.incarnation && e.up {
			e.step(batch, took)
		}
	})
}

// overloaded reports whether a cold engine has run more than it bears for so long
// that it falls over.
func (e *engine) overloaded() bool {
	if e.coldSteps == 0 || len(e.running) <= e.cfg.ColdSlots {
		e.tooMuchSince = time.Time{}
		return false
	}
	if e.tooMuchSince.IsZero() {
		e.tooMuchSince = e.loop.now
	}
	return e.loop.now.Sub(e.tooMuchSince) >= e.cfg.OverloadTolerance
}

// fill takes waiting requests into the batch, priority work first.
func (e *engine) fill() {
	slices.SortStableFunc(e.waiting, func(a, b *request) int { return b.rank() - a.rank() })
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if len(e.running) >= e.cfg.Slots && !e.swapOut(r) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
	}
}

// swapOut makes room for priority work by swapping out the newest other work.
func (e *engine) swapOut(r *request) bool {
	if !e.cfg.Preempt || r.rank() == 0 {
		return false
	}
	for i := len(e.running) - 1; i >= 0; i-- {
		if out := e.running[i]; out.rank() == 0 {
			e.running = slices.Delete(e.running, i, i+1)
			e.waiting = append(e.waiting, out)
			out.prefill = max(out.prefill, swapTokens)
			e.swapped++
			return true
		}
	}
	return false
}

// swapTokens is the cost of swapping a request in again, in prompt tokens.
const swapTokens = 64

func (e *engine) stepTime() time.Duration {
	took := e.cfg.Step + time.Duration(len(e.running))*e.cfg.StepPerRequest
	took += time.Duration(e.chunk()) * e.cfg.PromptToken
	if e.coldSteps > 0 {
		took = time.Duration(float64(took) * e.cfg.ColdFactor)
	}
	return took
}

// chunk returns the prompt tokens of the next step.
func (e *engine) chunk() int {
	n := 0
	for _, r := range e.running {
		n += r.prefill
	}
	return min(n, e.cfg.ChunkTokens)
}

// step ends a step: prompts advance by the chunk, and each other request by one
// token.
func (e *engine) step(batch []*request, took time.Duration) {
	e.lastStep = took
	if e.coldSteps > 0 {
		e.coldSteps--
	}
	e.publish()
	chunk := e.cfg.ChunkTokens
	slices.SortStableFunc(batch, func(a, b *request) int { return b.rank() - a.rank() })
	for _, r := range batch {
		part := min(r.prefill, chunk)
		r.prefill -= part
		chunk -= part
		if r.prefill > 0 {
			continue
		}
		r.generated++
		e.onToken(r, 1)
		if r.generated >= r.output {
			e.remove(r)
			e.onDone(r)
		}
	}
	e.onStep(took)
	e.stepping = false
	e.schedule()
}

func (e *engine) remove(r *request) {
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// fall ends the engine with all its work, and restarts it cold.
func (e *engine) fall() {
	e.fallen++
	e.stop()
	e.loop.after(e.cfg.RestartTime, func() { e.start(false) })
}

// stop ends the engine with all its work.
func (e *engine) stop() {
	e.up, e.stepping = false, false
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.lost += len(lost)
	for _, r := range lost {
		e.onLost(r)
	}
}
