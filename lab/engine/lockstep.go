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
	// PathShiftPopularity gives every expert of the group a new popularity.
	PathShiftPopularity = "/lab/popularity/shift"
	// PathLongestPause tells the longest time without a step, and forgets it.
	PathLongestPause = "/lab/lockstep/stop"
)

// LockstepConfig is the settings of a group of ranks.
type LockstepConfig struct {
	Size expertmap.Size
	// Ranks are the base URLs of the ranks, each a process of its own.
	Ranks []string
	// Picks is the expert picks of a step in one layer.
	Picks float64
	// PickTime is the time of one pick on a healthy rank.
	PickTime time.Duration
	// Zipf is the exponent of the popularity, Seed the seed of its draws.
	Zipf float64
	Seed uint64
	// DriftInterval is the time in which two neighbours in the popularity of each
	// layer change places. 0 turns drift off.
	DriftInterval time.Duration
}

// Lockstep makes the ranks of a group enter each step together.
type Lockstep struct {
	cfg    LockstepConfig
	client *http.Client

	mu           sync.Mutex
	workload     *maps.Workload
	step         uint64
	picks        [][]float64
	report       group.RankReport
	incarnations []string
	skew         float64
	broken       bool
	lastDrift    time.Time
	lastRan      time.Time
	longestStop  time.Duration
}

// NewLockstep returns a group whose ranks are not asked for anything yet.
func NewLockstep(cfg LockstepConfig) *Lockstep {
	l := &Lockstep{
		cfg: cfg, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		workload: maps.NewWorkload(cfg.Seed, cfg.Size, cfg.Zipf), step: 1, skew: 1, broken: true,
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

// Register adds the group's routes to an HTTP server.
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
		stop := l.longestStop
		l.longestStop = 0
		return c.JSON(http.StatusOK, stop.Milliseconds())
	})
}

// outcome is what became of an attempt to run a step.
type outcome int

// Outcomes of a step.
const (
	// stepRan means that every rank entered the step.
	stepRan outcome = iota
	// stepHeld means that a rank is held before the step.
	stepHeld
	// stepLost means that a rank has died or restarted, and with it what running
	// requests had kept in memory.
	stepLost
)

// retryStep is the time between two attempts to run a step.
const retryStep = 2 * time.Millisecond

// run makes every rank enter the next step and waits for the slowest.
func (l *Lockstep) run() outcome {
	in := l.prepare()
	replies := make([]enterReply, len(l.cfg.Ranks))
	failures := make([]error, len(l.cfg.Ranks))
	var all sync.WaitGroup
	for i, url := range l.cfg.Ranks {
		all.Go(func() { failures[i] = l.call(url+pathEnter, in, &replies[i]) })
	}
	all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finish(replies, failures)
}

// prepare draws the picks of the next step. A step that is tried again has the
// same picks.
func (l *Lockstep) prepare() *enterRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.lastDrift.IsZero() && l.cfg.DriftInterval > 0 {
		l.workload.AdvanceDrift(now.Sub(l.lastDrift), l.cfg.DriftInterval)
	}
	l.lastDrift = now
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

// finish takes the ranks' replies to one step.
func (l *Lockstep) finish(replies []enterReply, failures []error) outcome {
	result := stepRan
	for r := range replies {
		if failures[r] != nil {
			l.broken = true
			return stepLost
		}
		if known := l.incarnations[r]; known != replies[r].Incarnation {
			l.incarnations[r] = replies[r].Incarnation
			if known != "" {
				result = stepLost
			}
		}
		if !replies[r].Entered && result == stepRan {
			result = stepHeld
		}
	}
	if result == stepRan {
		l.account(replies)
	}
	return result
}

// account adds the figures of a step that every rank entered.
func (l *Lockstep) account(replies []enterReply) {
	const recent = 0.2
	worst, total, work := 0.0, 0.0, 0.0
	for r, reply := range replies {
		l.report.Work[r] += reply.Work
		l.report.BusyMillis[r] += reply.BusyMillis
		worst = max(worst, reply.BusyMillis)
		total += reply.BusyMillis
		work += reply.Work
	}
	for layer, picks := range l.picks {
		for e, n := range picks {
			l.report.Picks[layer][e] += n
		}
	}
	ranks := float64(len(replies))
	if total > 0 {
		l.skew += recent * (worst*ranks/total - l.skew)
	}
	l.report.ExpertMillis = work * l.cfg.PickTime.Seconds() * 1000 / ranks
	l.report.StepMillis = worst
	now := time.Now()
	if !l.lastRan.IsZero() {
		l.longestStop = max(l.longestStop, now.Sub(l.lastRan))
	}
	l.lastRan = now
	l.picks = nil
	l.step++
	l.broken = false
}

func (l *Lockstep) call(target string, in, out any) error {
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
		return errors.Errorf("rank answered %d", resp.StatusCode)
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

// state returns the recent skew, and whether the ranks run steps.
func (l *Lockstep) state() (skew float64, works bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skew, !l.broken
}
