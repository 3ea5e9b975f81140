package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/maps"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/group"
)

// Paths of a group that tests call.
const (
	// PathShiftPopularity draws a new popularity for all experts of the group.
	PathShiftPopularity = "/lab/popularity/shift"
	// PathLongestPause returns the longest time between two steps, in milliseconds,
	// and resets it.
	PathLongestPause = "/lab/lockstep/stop"
)

// LockstepConfig holds the settings of a group of ranks.
type LockstepConfig struct {
	Size expertmap.Size
	// RankURLs are the base URLs of the ranks, each a process of its own.
	RankURLs []string
	// Picks is the number of expert selections of a step in one layer.
	Picks float64
	// PickTime is the time of one expert selection on a healthy rank.
	PickTime time.Duration
	// Zipf is the exponent of the Zipf distribution of the popularity, Seed the
	// seed of all draws.
	Zipf float64
	Seed uint64
	// DriftInterval is the mean interval at which two neighbours in the order of
	// popularity of each layer are swapped. 0 disables drift.
	DriftInterval time.Duration
}

// Lockstep runs the steps of a group, which all its ranks enter together.
type Lockstep struct {
	cfg    LockstepConfig
	client *http.Client

	mu       sync.Mutex
	workload *maps.Workload
	// step is the next step, picks its expert selections, nil until they are drawn.
	step  uint64
	picks [][]float64
	// report holds the counters of all steps so far.
	report group.RankReport
	// incarnations holds the incarnation of each rank in its latest response.
	incarnations []string
	// skew is the smoothed ratio of the slowest rank's busy time to the mean.
	skew float64
	// failed is true before the first step, and from a failed call of a rank to the
	// next step that runs.
	failed       bool
	lastDriftAt  time.Time
	lastStepAt   time.Time
	longestPause time.Duration
}

// NewLockstep returns a group that has run no step. It sends no request to a rank
// before the first step.
func NewLockstep(cfg LockstepConfig) *Lockstep {
	l := &Lockstep{
		cfg: cfg, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		workload: maps.NewWorkload(cfg.Seed, cfg.Size, cfg.Zipf), step: 1, skew: 1, failed: true,
		incarnations: make([]string, cfg.Size.Ranks),
		report: group.RankReport{
			Picks: make([][]float64, cfg.Size.Layers), Work: make([]float64, cfg.Size.Ranks), BusyMillis: make([]float64, cfg.Size.Ranks),
		},
	}
	for i := range l.report.Picks {
		l.report.Picks[i] = make([]float64, cfg.Size.Experts)
	}
	return l
}

// Register adds the routes of the group to an HTTP server.
func (l *Lockstep) Register(e *echo.Echo) {
	e.POST(PathShiftPopularity, func(c echo.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.workload.ShiftPopularity()
		return c.NoContent(http.StatusOK)
	})
	e.GET(PathLongestPause, func(c echo.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		pause := l.longestPause
		l.longestPause = 0
		return c.JSON(http.StatusOK, pause.Milliseconds())
	})
}

// stepResult is the result of an attempt to run a step.
type stepResult int

// Results of an attempt to run a step.
const (
	// stepRan means that every rank entered the step.
	stepRan stepResult = iota
	// stepHeld means that a rank has no map or is held before the step.
	stepHeld
	// stepFailed means that a rank did not respond or has restarted, so that the
	// state of running requests in its memory is gone.
	stepFailed
)

// retryInterval is the time between two attempts to run a step.
const retryInterval = 2 * time.Millisecond

// runStep requests every rank to enter the next step and waits for the slowest.
func (l *Lockstep) runStep() stepResult {
	in := l.prepareStep()
	responses := make([]enterResponse, len(l.cfg.RankURLs))
	failures := make([]error, len(l.cfg.RankURLs))
	var calls sync.WaitGroup
	for i, url := range l.cfg.RankURLs {
		calls.Go(func() { failures[i] = l.post(url+pathEnter, in, &responses[i]) })
	}
	calls.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handleResponses(responses, failures)
}

// prepareStep draws the expert selections of the next step and returns the request
// to its ranks. A step that is retried has the same selections.
func (l *Lockstep) prepareStep() *enterRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.lastDriftAt.IsZero() && l.cfg.DriftInterval > 0 {
		l.workload.AdvanceDrift(now.Sub(l.lastDriftAt), l.cfg.DriftInterval)
	}
	l.lastDriftAt = now
	if l.picks == nil {
		for layer := range l.cfg.Size.Layers {
			l.picks = append(l.picks, l.workload.DrawPicks(layer, l.cfg.Picks))
		}
	}
	report := l.report
	report.Work, report.BusyMillis = slices.Clone(report.Work), slices.Clone(report.BusyMillis)
	report.Picks = make([][]float64, len(l.report.Picks))
	for i := range report.Picks {
		report.Picks[i] = slices.Clone(l.report.Picks[i])
	}
	return &enterRequest{Step: l.step, Picks: l.picks, Report: report}
}

// handleResponses evaluates the responses of the ranks to one step, and records the
// step if every rank entered it. The caller holds the lock.
func (l *Lockstep) handleResponses(responses []enterResponse, failures []error) stepResult {
	result := stepRan
	for r := range responses {
		if failures[r] != nil {
			l.failed = true
			return stepFailed
		}
		if previous := l.incarnations[r]; previous != responses[r].Incarnation {
			l.incarnations[r] = responses[r].Incarnation
			if previous != "" {
				result = stepFailed
			}
		}
		if !responses[r].Entered && result == stepRan {
			result = stepHeld
		}
	}
	if result == stepRan {
		l.recordStep(responses)
	}
	return result
}

// recordStep adds a step that every rank entered to the report and to the recent
// skew. The caller holds the lock.
func (l *Lockstep) recordStep(responses []enterResponse) {
	const skewSmoothing = 0.2
	slowest, total, work := 0.0, 0.0, 0.0
	for r, resp := range responses {
		l.report.Work[r] += resp.Work
		l.report.BusyMillis[r] += resp.BusyMillis
		slowest = max(slowest, resp.BusyMillis)
		total += resp.BusyMillis
		work += resp.Work
	}
	for layer, picks := range l.picks {
		for e, n := range picks {
			l.report.Picks[layer][e] += n
		}
	}
	ranks := float64(len(responses))
	if total > 0 {
		l.skew += skewSmoothing * (slowest*ranks/total - l.skew)
	}
	l.report.ExpertMillis = work * l.cfg.PickTime.Seconds() * 1000 / ranks
	l.report.StepMillis = slowest
	now := time.Now()
	if !l.lastStepAt.IsZero() {
		l.longestPause = max(l.longestPause, now.Sub(l.lastStepAt))
	}
	l.lastStepAt = now
	l.picks = nil
	l.step++
	l.failed = false
}

func (l *Lockstep) post(target string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := l.client.Post(target, echo.MIMEApplicationJSON, bytes.NewReader(raw))
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("rank responded with status %d", resp.StatusCode)
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

// status returns the recent skew. It returns healthy if a step has run and all ranks
// have responded since the last one.
func (l *Lockstep) status() (skew float64, healthy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skew, !l.failed
}
