package virtual

import (
	"slices"
	"strconv"
	"time"
)

// EngineConfig holds the settings of a model engine.
type EngineConfig struct {
	// Slots is how many requests a warm engine runs at once.
	Slots int
	// ColdSlots is how many requests a cold engine sustains without a crash.
	ColdSlots int
	// StepTime is the time of a step with an empty batch, StepTimePerRequest the
	// time that each running request adds, and StepTimePerPromptToken the time
	// that each new prompt token adds.
	StepTime               time.Duration
	StepTimePerRequest     time.Duration
	StepTimePerPromptToken time.Duration
	// MaxPrefillChunk is the maximum number of prompt tokens in one step.
	MaxPrefillChunk int
	// WarmupSteps is how many steps a cold engine takes to become warm, and
	// ColdSlowdown the factor by which a cold step is slower.
	WarmupSteps  int
	ColdSlowdown float64
	// RestartTime is how long an engine is down after a crash.
	RestartTime time.Duration
	// OverloadTolerance is how long a cold engine runs more than ColdSlots
	// requests before it crashes.
	OverloadTolerance time.Duration
	// ReportLag is the lag of the engine's own report of its load.
	ReportLag time.Duration
	// Preempt lets priority requests swap out other running requests.
	Preempt bool
	// MaxCachedPrefixes is how many prompt prefixes the engine caches.
	MaxCachedPrefixes int
}

// engine simulates a model engine with continuous batching.
type engine struct {
	cfg           EngineConfig
	loop          *loop
	incarnation   int
	up            bool
	stepping      bool
	coldStepsLeft int
	running       []*request
	waiting       []*request
	lastStepTime  time.Duration
	// reportedLoad is the latest load that is at least as old as ReportLag.
	reportedLoad loadReport
	// prefixCache lists the cached prefixes, the least recently used one first.
	prefixCache []uint64
	// crashes counts crashes and restarts, aborted the requests in the engine when
	// it crashed or was stopped.
	crashes int
	aborted int
	// swappedOut counts requests that were swapped out for priority requests.
	swappedOut int
	// received counts all requests that were submitted to the engine.
	received int
	// excess counts requests that the cold engine received beyond ColdSlots.
	excess          int
	overloadedSince time.Time

	onToken func(r *request, tokens int)
	onDone  func(r *request)
	onAbort func(r *request)
	onStep  func(took time.Duration)
}

// loadReport is the load that an engine itself reports.
type loadReport struct {
	incarnation string
	stepTime    time.Duration
	cold        bool
}

// start starts the engine, either warm or cold.
func (e *engine) start(warm bool) {
	e.incarnation++
	e.up = true
	e.prefixCache = nil
	e.coldStepsLeft = e.cfg.WarmupSteps
	if warm {
		e.coldStepsLeft = 0
	}
	e.publishLoad()
}

// turnCold makes a warm engine cold without a restart.
func (e *engine) turnCold() { e.coldStepsLeft = e.cfg.WarmupSteps }

// publishLoad makes the current load the reported load once the lag has passed.
func (e *engine) publishLoad() {
	l := loadReport{incarnation: strconv.Itoa(e.incarnation), stepTime: e.lastStepTime, cold: e.coldStepsLeft > 0}
	e.loop.after(e.cfg.ReportLag, func() { e.reportedLoad = l })
}

// submit adds a request to the engine's queue.
func (e *engine) submit(r *request) {
	e.received++
	r.prefillLeft = e.cachePrefix(r)
	if e.coldStepsLeft > 0 && len(e.running)+len(e.waiting) >= e.cfg.ColdSlots {
		e.excess++
	}
	e.waiting = append(e.waiting, r)
	e.startStep()
}

// cachePrefix caches the prefix of a request and returns how many of its prompt
// tokens were not cached before. It counts a prefix as cached if it was at an earlier
// attempt of the request.
func (e *engine) cachePrefix(r *request) int {
	if r.prefix == 0 || e.cfg.MaxCachedPrefixes == 0 {
		return r.prompt
	}
	i := slices.Index(e.prefixCache, r.prefix)
	if i >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, i, i+1)
		r.prefixCached = true
	}
	e.prefixCache = append(e.prefixCache, r.prefix)
	if len(e.prefixCache) > e.cfg.MaxCachedPrefixes {
		e.prefixCache = e.prefixCache[1:]
	}
	if r.prefixCached {
		return max(1, r.prompt-r.prefixTokens)
	}
	return r.prompt
}

func (e *engine) startStep() {
	if e.stepping || !e.up || len(e.running)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	e.fillBatch()
	if e.checkOverload() {
		e.stepping = false
		e.crash()
		return
	}
	took, batch := e.stepTime(), slices.Clone(e.running)
	incarnation := e.incarnation
	e.loop.after(took, func() {
		if incarnation == e.incarnation && e.up {
			e.finishStep(batch, took)
		}
	})
}

// checkOverload records since when a cold engine has run more than ColdSlots
// requests, and reports whether OverloadTolerance has passed since then.
func (e *engine) checkOverload() bool {
	if e.coldStepsLeft == 0 || len(e.running) <= e.cfg.ColdSlots {
		e.overloadedSince = time.Time{}
		return false
	}
	if e.overloadedSince.IsZero() {
		e.overloadedSince = e.loop.now
	}
	return e.loop.now.Sub(e.overloadedSince) >= e.cfg.OverloadTolerance
}

// fillBatch moves waiting requests into the batch, priority requests first.
func (e *engine) fillBatch() {
	slices.SortStableFunc(e.waiting, func(a, b *request) int { return b.priorityLevel() - a.priorityLevel() })
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if len(e.running) >= e.cfg.Slots && !e.swapOutFor(r) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
	}
}

// swapOutFor frees a slot for a priority request by swapping out the request
// without priority that was added to the batch last.
func (e *engine) swapOutFor(r *request) bool {
	if !e.cfg.Preempt || r.priorityLevel() == 0 {
		return false
	}
	for i := len(e.running) - 1; i >= 0; i-- {
		if out := e.running[i]; out.priorityLevel() == 0 {
			e.running = slices.Delete(e.running, i, i+1)
			e.waiting = append(e.waiting, out)
			out.prefillLeft = max(out.prefillLeft, swapInTokens)
			e.swappedOut++
			return true
		}
	}
	return false
}

// swapInTokens is the cost of swapping in a request, in prompt tokens.
const swapInTokens = 64

func (e *engine) stepTime() time.Duration {
	took := e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepTimePerRequest
	took += time.Duration(e.prefillChunk()) * e.cfg.StepTimePerPromptToken
	if e.coldStepsLeft > 0 {
		took = time.Duration(float64(took) * e.cfg.ColdSlowdown)
	}
	return took
}

// prefillChunk returns the number of prompt tokens in the next step.
func (e *engine) prefillChunk() int {
	n := 0
	for _, r := range e.running {
		n += r.prefillLeft
	}
	return min(n, e.cfg.MaxPrefillChunk)
}

// finishStep ends a step: the prefill advances by at most one chunk in all, and
// each request without remaining prefill generates one token.
func (e *engine) finishStep(batch []*request, took time.Duration) {
	e.lastStepTime = took
	if e.coldStepsLeft > 0 {
		e.coldStepsLeft--
	}
	e.publishLoad()
	chunk := e.cfg.MaxPrefillChunk
	slices.SortStableFunc(batch, func(a, b *request) int { return b.priorityLevel() - a.priorityLevel() })
	for _, r := range batch {
		tokens := min(r.prefillLeft, chunk)
		r.prefillLeft -= tokens
		chunk -= tokens
		if r.prefillLeft > 0 {
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
	e.startStep()
}

func (e *engine) remove(r *request) {
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
}

// crash stops the engine with all its requests, and starts it cold after
// RestartTime.
func (e *engine) crash() {
	e.crashes++
	e.stop()
	e.loop.after(e.cfg.RestartTime, func() { e.start(false) })
}

// stop stops the engine and aborts all its requests.
func (e *engine) stop() {
	e.up, e.stepping = false, false
	aborted := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.aborted += len(aborted)
	for _, r := range aborted {
		e.onAbort(r)
	}
}
