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
	pathEnter     = "/lab/rank/enter"
	PathJournal   = "/lab/rank/journal"
	PathRankSpeed = "/lab/rank/speed"
	PathStall     = "/lab/rank/stall"
	PathState     = "/lab/rank/state"
)

// RankConfig is the settings of one rank, which is a process of its own.
type RankConfig struct {
	Size expertmap.Size
	// ChecksFencing makes the rank refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time in which one expert is loaded.
	LoadTime time.Duration
	// PickTime is the time of one expert pick on a healthy rank.
	PickTime time.Duration
}

// StepRange is a run of steps that a rank entered under one map.
type StepRange struct {
	From    uint64            `json:"from"`
	To      uint64            `json:"to"`
	Version expertmap.Version `json:"version"`
}

// enterRequest makes a rank enter a step.
type enterRequest struct {
	Step  uint64      `json:"step"`
	Picks [][]float64 `json:"picks"`
	// Report is the group's figures up to the step before.
	Report group.RankReport `json:"report"`
}

// enterReply tells how a rank entered a step.
type enterReply struct {
	Incarnation string `json:"incarnation"`
	// Entered is false while the rank has no map or is held before the step.
	Entered    bool    `json:"entered"`
	Work       float64 `json:"work"`
	BusyMillis float64 `json:"busy_millis"`
}

// Rank is the stand-in of one rank.
type Rank struct {
	cfg   RankConfig
	index int

	mu       sync.Mutex
	rules    *rank.Rank
	speed    float64
	report   group.RankReport
	journal  []StepRange
	loadedAt time.Time
	stalled  mapswitch.OrderKind
}

// NewRank returns a rank that has just started.
func NewRank(cfg RankConfig, index int) *Rank {
	incarnation := uuid.NewString()
	return &Rank{
		cfg: cfg, index: index, speed: 1,
		rules:  rank.New(incarnation, cfg.ChecksFencing, 0),
		report: group.RankReport{Incarnation: incarnation},
	}
}

// Register adds the rank's routes to an HTTP server.
func (r *Rank) Register(e *echo.Echo) {
	e.POST(group.PathOrder, r.order)
	e.GET(group.PathReport, r.sendReport)
	e.POST(pathEnter, r.enter)
	e.GET(PathJournal, r.sendJournal)
	e.PUT(PathRankSpeed, r.setSpeed)
	e.PUT(PathStall, r.setStall)
	e.GET(PathState, r.sendState)
}

// order obeys an order of the rank's agent.
func (r *Rank) order(c echo.Context) error {
	var o mapswitch.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if !r.await(c.Request().Context(), o.Kind) {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoad(time.Now())
	result := r.rules.Apply(&o)
	if o.Kind == mapswitch.OrderLoad && !result.Refused && r.loadedAt.IsZero() && r.rules.Loading() != nil {
		r.loadedAt = time.Now().Add(r.loadTime(o.Map))
		r.finishLoad(time.Now())
	}
	return c.JSON(http.StatusOK, result)
}

// stallPoll is the time between two looks whether an order is still stalled.
const stallPoll = 5 * time.Millisecond

// await waits while orders of a kind are stalled. It reports false when the
// caller has given up, and the order must have no effect.
func (r *Rank) await(ctx context.Context, kind mapswitch.OrderKind) bool {
	for {
		r.mu.Lock()
		stalled := r.stalled == kind
		r.mu.Unlock()
		if !stalled {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stallPoll):
		}
	}
}

// setStall keeps orders of a kind waiting, or none when it is empty.
func (r *Rank) setStall(c echo.Context) error {
	var kind mapswitch.OrderKind
	if err := json.NewDecoder(c.Request().Body).Decode(&kind); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalled = kind
	return c.NoContent(http.StatusOK)
}

func (r *Rank) sendState(c echo.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.JSON(http.StatusOK, r.rules.State())
}

// loadTime returns how long the experts take that the rank does not hold yet.
func (r *Rank) loadTime(m *expertmap.Map) time.Duration {
	current := r.rules.State().Current
	if current == nil {
		return 0
	}
	loads := 0
	for l := range m.Layers {
		loads += expertmap.AddedPerRank(current.Layers[l], m.Layers[l])[r.index]
	}
	return time.Duration(loads) * r.cfg.LoadTime
}

// finishLoad ends a load whose time has come.
func (r *Rank) finishLoad(now time.Time) {
	if !r.loadedAt.IsZero() && !now.Before(r.loadedAt) {
		r.loadedAt = time.Time{}
		r.rules.FinishLoad()
	}
}

// enter enters a step and takes the time of its work, unless the rank is held.
func (r *Rank) enter(c echo.Context) error {
	var in enterRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	out := r.start(&in)
	time.Sleep(time.Duration(out.BusyMillis * float64(time.Millisecond)))
	return c.JSON(http.StatusOK, out)
}

func (r *Rank) start(in *enterRequest) enterReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := enterReply{Incarnation: r.report.Incarnation}
	m := r.rules.Enter(in.Step)
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
	r.note(in.Step, m.Version)
	return out
}

// note records the map of a step.
func (r *Rank) note(step uint64, v expertmap.Version) {
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

// setSpeed makes the rank a straggler, or healthy again.
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
