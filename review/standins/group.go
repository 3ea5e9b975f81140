package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Shape of the model and times of its group.
const (
	groupName      = "g"
	groupRanks     = 8
	expertLayers   = 2
	expertCount    = 24
	expertSlots    = 10
	maxNewExperts  = 6
	passTime       = 40 * time.Millisecond
	copyTime       = 30 * time.Millisecond
	picksPerPass   = 200
	popularExperts = 3
	// driftTime is the time after which other experts are in demand.
	driftTime = 1500 * time.Millisecond
	eventsOf  = 25
)

// mapVersion is one version of the expert map: the experts by layer and rank.
type mapVersion struct {
	version uint64
	layers  [][][]int
}

// armedMap is a scheduled switch.
type armedMap struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// engineRank is the state of one rank.
type engineRank struct {
	current  mapVersion
	prepared *mapVersion
	// readyAt is when the experts of the prepared map are copied.
	readyAt time.Time
	highest uint64
	armed   *armedMap
	held    *uint64
	counts  []uint64
	active  int
	seq     int
}

// group stands in for the ranks of a model. All of them run each pass together.
type group struct {
	record *recorder

	mu       sync.Mutex
	epoch    uint64
	step     uint64
	ranks    []*engineRank
	waiting  int
	nextPass chan struct{}
	popular  int
	rand     *rand.Rand
	// broken counts the passes in which two ranks had different maps.
	broken, switches int
	stop             chan struct{}
}

func newGroup(record *recorder) *group {
	g := &group{record: record, epoch: 1, nextPass: make(chan struct{}), rand: rand.New(rand.NewPCG(1, 1)), stop: make(chan struct{})}
	for range groupRanks {
		m := mapVersion{}
		for range expertLayers {
			layer := make([][]int, groupRanks)
			for e := range expertCount {
				layer[e%groupRanks] = append(layer[e%groupRanks], e)
			}
			m.layers = append(m.layers, layer)
		}
		g.ranks = append(g.ranks, &engineRank{current: m, counts: make([]uint64, expertLayers*expertCount)})
	}
	return g
}

// run starts a pass each passTime while requests wait for one.
func (g *group) run() {
	pass, drift := time.NewTicker(passTime), time.NewTicker(driftTime)
	defer pass.Stop()
	defer drift.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-drift.C:
			g.mu.Lock()
			g.popular = (g.popular + popularExperts + 2) % expertCount
			g.mu.Unlock()
		case <-pass.C:
			g.startPass()
		}
	}
}

// startPass starts the next pass unless a rank holds it, and compares the maps of all ranks.
func (g *group) startPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.step + 1
	if g.waiting == 0 || slices.ContainsFunc(g.ranks, func(r *engineRank) bool { return r.held != nil && *r.held == step }) {
		return
	}
	g.step = step
	before := g.ranks[0].current.version
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == step {
			r.current, r.prepared, r.armed = *r.prepared, nil, nil
		}
		g.count(r)
	}
	if g.ranks[0].current.version != before {
		g.switches++
		g.record.line("pass %d begins with map %d", step, g.ranks[0].current.version)
	}
	for i, r := range g.ranks {
		if r.current.version != g.ranks[0].current.version || !sameLayers(r.current.layers, g.ranks[0].current.layers) {
			g.broken++
			if g.broken <= 5 {
				g.record.line("BROKEN: pass %d begins with map %d at rank 0 and map %d at rank %d", step, g.ranks[0].current.version, r.current.version, i)
			}
			break
		}
	}
	close(g.nextPass)
	g.nextPass = make(chan struct{})
}

// count adds the selections of a pass. Half of them are of the experts in demand.
func (g *group) count(r *engineRank) {
	for l := range expertLayers {
		for range picksPerPass {
			e := g.rand.IntN(expertCount)
			if g.rand.IntN(2) == 0 {
				e = (g.popular + g.rand.IntN(popularExperts)) % expertCount
			}
			r.counts[l*expertCount+e]++
		}
	}
}

func sameLayers(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool {
		return slices.EqualFunc(x, y, func(p, q []int) bool {
			return slices.Equal(slices.Sorted(slices.Values(p)), slices.Sorted(slices.Values(q)))
		})
	})
}

// waitForPass waits for the next pass.
func (g *group) waitForPass(ctx context.Context) bool {
	g.mu.Lock()
	g.waiting++
	next := g.nextPass
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.waiting--
		g.mu.Unlock()
	}()
	select {
	case <-next:
		return true
	case <-ctx.Done():
		return false
	}
}

// membership returns what a rank says of its group.
func (g *group) membership(rank int) map[string]any {
	return map[string]any{"name": groupName, "epoch": g.epoch, "rank": rank, "state": "open"}
}

// serve serves the calls of one rank.
func (g *group) serve(u *upstream, rank int, w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		g.serveReport(u, rank, w)
	case r.Method == http.MethodGet && r.URL.Path == "/picked":
		g.servePicked(rank, w, strings.Contains(r.URL.RawQuery, "lists"))
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		var o engineOrder
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(g.execute(rank, &o))
	default:
		g.serveStream(rank, w, r)
	}
}

func (g *group) serveReport(u *upstream, rank int, w http.ResponseWriter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	out := map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": r.seq, "queued": 0,
		"active": r.active, "kv-used": 1000, "kv-total": 90000, "handles": 0, "pace": 1.0, "born": u.born, "group": g.membership(rank), "size": groupRanks,
		"step": g.step, "map": r.current.version,
	}
	if r.prepared != nil && time.Now().After(r.readyAt) {
		out["prepared"] = r.prepared.version
	}
	if r.armed != nil {
		out["armed"] = r.armed
	}
	if r.held != nil {
		out["held"] = *r.held
	}
	writeJSON(w, out)
}

func (g *group) servePicked(rank int, w http.ResponseWriter, lists bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	if !lists {
		writeJSON(w, map[string]any{"step": g.step, "epoch": g.epoch, "counts": r.counts})
		return
	}
	held := [][]int{}
	for _, layer := range r.current.layers {
		held = append(held, layer[rank])
	}
	writeJSON(w, map[string]any{"step": g.step, "epoch": g.epoch, "map": map[string]any{"version": r.current.version, "experts": held}})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// engineOrder is an order to a rank.
type engineOrder struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   uint64    `json:"epoch"`
	Map     [][][]int `json:"map"`
}

// execute carries an order out if it fits the state of the rank, and returns the status.
func (g *group) execute(rank int, o *engineOrder) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	if o.Epoch != g.epoch {
		return http.StatusConflict
	}
	fits, holds := false, false
	switch o.Op {
	case "prepare":
		holds = r.prepared != nil && r.prepared.version == o.Version
		if fits = !holds && o.Version > r.highest && r.armed == nil; fits {
			r.highest, r.prepared, r.readyAt = o.Version, &mapVersion{version: o.Version, layers: o.Map}, time.Now().Add(copyTime)
		}
	case "arm":
		holds = r.armed != nil && *r.armed == armedMap{o.Version, o.Step}
		if fits = !holds && r.prepared != nil && r.prepared.version == o.Version && time.Now().After(r.readyAt) && o.Step > g.step; fits {
			r.armed = &armedMap{o.Version, o.Step}
		}
	case "disarm":
		holds = r.armed == nil && r.current.version != o.Version
		if fits = r.armed != nil && r.armed.Version == o.Version; fits {
			r.armed = nil
		}
	case "hold":
		holds = r.held != nil && *r.held == o.Step
		if fits = r.held == nil && o.Step > g.step; fits {
			r.held = &o.Step
		}
	case "go":
		holds = r.held == nil
		if fits = r.held != nil && *r.held == o.Step; fits {
			r.held = nil
		}
	default:
		return http.StatusBadRequest
	}
	switch {
	case fits:
		r.seq++
		return http.StatusAccepted
	case holds:
		return http.StatusOK
	default:
		return http.StatusConflict
	}
}

// serveStream serves a stream with one event a pass.
func (g *group) serveStream(rank int, w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.ranks[rank].active++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.ranks[rank].active--
		g.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
	}
	for n := first + 1; n <= eventsOf; n++ {
		if !g.waitForPass(r.Context()) || writeEvent(w, n, "word") != nil {
			return
		}
	}
}
