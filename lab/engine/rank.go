package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/lab/rank"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"
	"github.com/acaciaglade/acaciaglade/pkg/group"
)

// Paths of a rank that the group's engine and tests call.
const (
	// pathEnter makes the rank enter a step.
	pathEnter = "/lab/rank/enter"
	// PathJournal returns the steps that the rank entered, as StepRanges.
	PathJournal = "/lab/rank/journal"
	// PathRankSpeed sets the rank's speed relative to a healthy rank.
	PathRankSpeed = "/lab/rank/speed"
	// PathStall stalls orders of a kind.
	PathStall = "/lab/rank/stall"
	// PathState returns the rank's mapswitch.RankState.
	PathState = "/lab/rank/state"
)

// RankConfig holds the settings of one rank, which is a process of its own.
type RankConfig struct {
	Size expertmap.Size
	// ChecksFencing makes the rank refuse orders with an old fencing token.
	ChecksFencing bool
	// LoadTime is the time in which the rank loads one expert.
	LoadTime time.Duration
	// PickTime is the time of one expert selection on a healthy rank.
	PickTime time.Duration
}

// StepRange is a range of consecutive steps that a rank entered under one map. Both
// ends are included.
type StepRange struct {
	From    uint64            `json:"from"`
	To      uint64            `json:"to"`
	Version expertmap.Version `json:"version"`
}

// enterRequest is the request to enter a step.
type enterRequest struct {
	Step  uint64      `json:"step"`
	Picks [][]float64 `json:"picks"`
	// Report is the report of the group up to the previous step.
	Report group.RankReport `json:"report"`
}

// enterResponse reports whether a rank entered a step, and the work of the step.
type enterResponse struct {
	Incarnation string `json:"incarnation"`
	// Entered is false while the rank has no map or is held before the step.
	Entered bool `json:"entered"`
	// Work is the number of expert selections at this rank, BusyMillis their time.
	Work       float64 `json:"work"`
	BusyMillis float64 `json:"busy_millis"`
}

// Rank is a simulated rank.
type Rank struct {
	cfg   RankConfig
	index int

	mu      sync.Mutex
	state   *rank.Rank
	speed   float64
	report  group.RankReport
	journal []StepRange
	// loadDoneAt is the end of the load in progress, zero for none.
	loadDoneAt time.Time
	// stalledKind is the kind of orders that are stalled, empty for none.
	stalledKind mapswitch.OrderKind
}

// NewRank returns a rank that has just started.
func NewRank(cfg RankConfig, index int) *Rank {
	incarnation := uuid.NewString()
	return &Rank{
		cfg: cfg, index: index, speed: 1,
		state:  rank.New(incarnation, cfg.ChecksFencing, 0),
		report: group.RankReport{Incarnation: incarnation},
	}
}

// Register adds the routes of the rank to an HTTP server.
func (r *Rank) Register(e *echo.Echo) {
	e.POST(group.PathOrder, r.handleOrder)
	e.GET(group.PathReport, r.sendReport)
	e.POST(pathEnter, r.handleEnter)
	e.GET(PathJournal, r.sendJournal)
	e.PUT(PathRankSpeed, r.setSpeed)
	e.PUT(PathStall, r.setStall)
	e.GET(PathState, r.sendState)
}

// handleOrder carries out an order of the rank's agent.
func (r *Rank) handleOrder(c echo.Context) error {
	var o mapswitch.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if !r.waitWhileStalled(c.Request().Context(), o.Kind) {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoad(time.Now())
	result := r.state.Apply(&o)
	if o.Kind == mapswitch.OrderLoad && !result.Refused && r.loadDoneAt.IsZero() && r.state.Loading() != nil {
		r.loadDoneAt = time.Now().Add(r.loadTime(o.Map))
		r.finishLoad(time.Now())
	}
	return c.JSON(http.StatusOK, result)
}

// stallPollInterval is the time between two checks whether an order is still
// stalled.
const stallPollInterval = 5 * time.Millisecond

// waitWhileStalled waits while orders of a kind are stalled. It returns false if the
// request was cancelled; the order must then have no effect.
func (r *Rank) waitWhileStalled(ctx context.Context, kind mapswitch.OrderKind) bool {
	for {
		r.mu.Lock()
		stalled := r.stalledKind == kind
		r.mu.Unlock()
		if !stalled {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stallPollInterval):
		}
	}
}

// setStall stalls orders of the given kind. An empty kind ends the stall.
func (r *Rank) setStall(c echo.Context) error {
	var kind mapswitch.OrderKind
	if err := json.NewDecoder(c.Request().Body).Decode(&kind); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalledKind = kind
	return c.NoContent(http.StatusOK)
}

func (r *Rank) sendState(c echo.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.JSON(http.StatusOK, r.state.State())
}

// loadTime returns the time to load the experts of a map that the rank does not
// hold.
func (r *Rank) loadTime(m *expertmap.Map) time.Duration {
	current := r.state.State().Current
	if current == nil {
		return 0
	}
	loads := 0
	for l := range m.Layers {
		loads += expertmap.AddedPerRank(current.Layers[l], m.Layers[l])[r.index]
	}
	return time.Duration(loads) * r.cfg.LoadTime
}

// finishLoad records the end of a load that is complete by now. The caller holds
// the lock.
func (r *Rank) finishLoad(now time.Time) {
	if !r.loadDoneAt.IsZero() && !now.Before(r.loadDoneAt) {
		r.loadDoneAt = time.Time{}
		r.state.FinishLoad()
	}
}

// handleEnter enters a step and waits for the time of its work, unless the rank is
// held.
func (r *Rank) handleEnter(c echo.Context) error {
	var in enterRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	out := r.enterStep(&in)
	time.Sleep(time.Duration(out.BusyMillis * float64(time.Millisecond)))
	return c.JSON(http.StatusOK, out)
}

func (r *Rank) enterStep(in *enterRequest) enterResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := enterResponse{Incarnation: r.report.Incarnation}
	m := r.state.Enter(in.Step)
	if m == nil {
		return out
	}
	out.Entered = true
	for l, layer := range m.Layers {
		out.Work += layer.Loads(in.Picks[l])[r.index]
	}
	out.BusyMillis = out.Work * r.cfg.PickTime.Seconds() * 1000 / r.speed
	in.Report.Incarnation = r.report.Incarnation
	r.report = in.Report
	r.recordStep(in.Step, m.Version)
	return out
}

// recordStep records the map of a step in the journal. The caller holds the lock.
func (r *Rank) recordStep(step uint64, v expertmap.Version) {
	last := len(r.journal) - 1
	if last >= 0 && r.journal[last].Version == v {
		r.journal[last].To = step
		return
	}
	r.journal = append(r.journal, StepRange{From: step, To: step, Version: v})
}

func (r *Rank) sendReport(c echo.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.JSON(http.StatusOK, r.report)
}

func (r *Rank) sendJournal(c echo.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.JSON(http.StatusOK, r.journal)
}

// setSpeed sets the speed of the rank relative to a healthy rank.
func (r *Rank) setSpeed(c echo.Context) error {
	var speed float64
	if err := json.NewDecoder(c.Request().Body).Decode(&speed); err != nil || speed <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speed = speed
	return c.NoContent(http.StatusOK)
}
