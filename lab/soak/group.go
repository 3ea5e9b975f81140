package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Shape of the simulated model.
const (
	layers = 2
	// experts is the number of experts in each layer, expertSlots the number of them
	// that one rank can hold.
	experts     = 24
	expertSlots = 10
	// maxNewExperts is the number of experts of a layer that one switch may add to a
	// rank.
	maxNewExperts = 6
)

// Times of a group.
const (
	passTime = 40 * time.Millisecond
	// stallTime is how long running streams stall after a rank has crashed.
	stallTime = 600 * time.Millisecond
	// formationTime is how long the ranks need to form the group once all are alive.
	formationTime = 300 * time.Millisecond
)

// group simulates the ranks of one model, which run each forward pass together.
type group struct {
	name    string
	checker *checker
	stop    chan struct{}

	mu sync.Mutex
	// epoch counts how often the group was formed.
	epoch uint64
	// open is true while the group runs passes: from its formation to the crash of a
	// rank.
	open bool
	// step is the number of the last forward pass that was started.
	step  uint64
	ranks []*rank
	// nextPass is closed when a pass starts, or some time after a rank has crashed.
	nextPass chan struct{}
	// waiting is the number of streams that wait for a pass.
	waiting int
	rand    *rand.Rand
	// firstPopular is the first of the popular experts.
	firstPopular int
}

// rank is the state of one rank of the group.
type rank struct {
	alive    bool
	upstream *upstream
	current  expertMap
	prepared *expertMap
	// highestVersion is the highest version that was prepared.
	highestVersion uint64
	armed          *armedMap
	// heldStep is the pass that the rank holds, nil for none.
	heldStep *uint64
	// selections counts the selections of each expert, layer by layer.
	selections []uint64
}

// expertMap is one version of the expert map: the experts of each rank in each layer.
type expertMap struct {
	version uint64
	layers  [][][]int
}

// armedMap is a prepared map and the pass at which the rank switches to it.
type armedMap struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

func newGroup(name string, ranks int, checker *checker, seed uint64) *group {
	g := &group{name: name, checker: checker, stop: make(chan struct{}), nextPass: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 3))}
	for range ranks {
		g.ranks = append(g.ranks, &rank{selections: make([]uint64, layers*experts)})
	}
	return g
}

// initialMap returns a map that assigns the experts to the ranks round-robin.
func (g *group) initialMap() expertMap {
	m := expertMap{}
	for range layers {
		layer := make([][]int, len(g.ranks))
		for e := range experts {
			layer[e%len(g.ranks)] = append(layer[e%len(g.ranks)], e)
		}
		m.layers = append(m.layers, layer)
	}
	return m
}

func (g *group) currentEpoch() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

// join adds a rank that has started. The group is formed once all ranks are alive.
func (g *group) join(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[u.rank].alive, g.ranks[u.rank].upstream = true, u
	if slices.ContainsFunc(g.ranks, func(r *rank) bool { return !r.alive }) {
		return
	}
	time.AfterFunc(formationTime, g.form)
}

// form opens the group in a new epoch if all ranks are alive.
func (g *group) form() {
	g.mu.Lock()
	if g.open || slices.ContainsFunc(g.ranks, func(r *rank) bool { return !r.alive }) {
		g.mu.Unlock()
		return
	}
	g.epoch++
	g.open = true
	for _, r := range g.ranks {
		r.current, r.prepared, r.armed, r.heldStep = g.initialMap(), nil, nil, nil
	}
	list := g.aliveUpstreams()
	g.mu.Unlock()
	registerAll(list, g.checker)
}

// aliveUpstreams returns the upstreams of the ranks that are alive. The caller holds the
// lock.
func (g *group) aliveUpstreams() []*upstream {
	var list []*upstream
	for _, r := range g.ranks {
		if r.alive {
			list = append(list, r.upstream)
		}
	}
	return list
}

func registerAll(list []*upstream, checker *checker) {
	for _, u := range list {
		if err := u.register(); err != nil {
			checker.RecordViolation("the simulated upstream can't register: %v", err)
		}
	}
}

// handleCrash breaks the group after one of its ranks has crashed. Running streams stall
// for a time before they end.
func (g *group) handleCrash() {
	g.mu.Lock()
	g.open = false
	for _, r := range g.ranks {
		if r.alive && !r.upstream.isAlive() {
			r.alive = false
		}
	}
	list := g.aliveUpstreams()
	g.mu.Unlock()
	registerAll(list, g.checker)
	time.AfterFunc(stallTime, g.wakeStreams)
}

// wakeStreams wakes the streams that wait for a pass, so that they check whether the
// group is still open.
func (g *group) wakeStreams() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.nextPass)
	g.nextPass = make(chan struct{})
}

// addMembership adds a rank's membership to its registration.
func (g *group) addMembership(rank int, spec map[string]any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	spec["group"], spec["size"] = g.membership(rank), len(g.ranks)
}

// membership returns a rank's membership in its wire format. The caller holds the lock.
func (g *group) membership(rank int) map[string]any {
	state := "broken"
	if g.open {
		state = "open"
	}
	return map[string]any{"name": g.name, "epoch": g.epoch, "rank": rank, "state": state}
}

// run starts a pass each passTime while streams wait for one, until stop is closed.
func (g *group) run() {
	tick := time.NewTicker(passTime)
	defer tick.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-tick.C:
			g.startPass()
		}
	}
}

// startPass starts the next pass unless a rank holds it, and checks that all ranks use
// the same map in it.
func (g *group) startPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.step + 1
	if !g.open || g.waiting == 0 {
		return
	}
	for _, r := range g.ranks {
		if r.heldStep != nil && *r.heldStep == step {
			return
		}
	}
	g.step = step
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == step {
			r.current, r.prepared, r.armed = *r.prepared, nil, nil
		}
		g.countSelections(r)
	}
	for i, r := range g.ranks {
		if r.current.version != g.ranks[0].current.version || !sameLayers(r.current.layers, g.ranks[0].current.layers) {
			g.checker.RecordViolation("pass %d of epoch %d started with map %d at rank %d and map %d at rank 0", step, g.epoch, r.current.version, i, g.ranks[0].current.version)
		}
	}
	close(g.nextPass)
	g.nextPass = make(chan struct{})
}

// countSelections adds a pass's expert selections to a rank's counts. Half of them are
// of three popular experts.
func (g *group) countSelections(r *rank) {
	for l := range layers {
		for range 200 {
			e := g.rand.IntN(experts)
			if g.rand.IntN(2) == 0 {
				e = (g.firstPopular + g.rand.IntN(3)) % experts
			}
			r.selections[l*experts+e]++
		}
	}
}

// sameLayers reports whether two maps place the same experts on each rank, in any order.
func sameLayers(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool {
		return slices.EqualFunc(x, y, func(p, q []int) bool {
			p, q = slices.Sorted(slices.Values(p)), slices.Sorted(slices.Values(q))
			return slices.Equal(p, q)
		})
	})
}

// waitForPass waits for the next pass. It returns false if ctx ends or the group breaks.
func (g *group) waitForPass(ctx context.Context) bool {
	g.mu.Lock()
	g.waiting++
	nextPass, epoch := g.nextPass, g.epoch
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.waiting--
		g.mu.Unlock()
	}()
	select {
	case <-nextPass:
	case <-ctx.Done():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open && g.epoch == epoch
}

// serveEngineCall serves an agent's calls of the engine. It returns false for requests of
// callers.
func (g *group) serveEngineCall(w http.ResponseWriter, r *http.Request, u *upstream, faults upstreamFaults) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		g.serveReport(w, u)
	case r.Method == http.MethodGet && r.URL.Path == "/picked":
		g.serveSelections(w, r, u.rank)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		g.serveOrder(w, r, u.rank, faults)
	default:
		return false
	}
	return true
}

// serveReport responds with the report of a rank.
func (g *group) serveReport(w http.ResponseWriter, u *upstream) {
	u.mu.Lock()
	out := map[string]any{"born": u.born, "active": u.running, "queued": 0, "pace": 1, "seq": 0}
	u.mu.Unlock()
	g.mu.Lock()
	rank := g.ranks[u.rank]
	out["group"], out["size"], out["step"], out["map"] = g.membership(u.rank), len(g.ranks), g.step, rank.current.version
	if rank.prepared != nil {
		out["prepared"] = rank.prepared.version
	}
	if rank.armed != nil {
		out["armed"] = *rank.armed
	}
	if rank.heldStep != nil {
		out["held"] = *rank.heldStep
	}
	g.mu.Unlock()
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveSelections responds with the counts of expert selections of a rank, or with the
// experts that it holds.
func (g *group) serveSelections(w http.ResponseWriter, r *http.Request, rank int) {
	g.mu.Lock()
	out := map[string]any{"step": g.step, "epoch": g.epoch, "counts": slices.Clone(g.ranks[rank].selections)}
	if strings.Contains(r.URL.RawQuery, "lists") {
		held := [][]int{}
		for _, layer := range g.ranks[rank].current.layers {
			held = append(held, layer[rank])
		}
		out = map[string]any{"epoch": g.epoch, "map": map[string]any{"version": g.ranks[rank].current.version, "experts": held}}
	}
	g.mu.Unlock()
	writeJSON(w, out)
}

// order is an order to a rank.
type order struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   uint64    `json:"epoch"`
	Map     [][][]int `json:"map"`
}

// serveOrder carries an order out. With the order delay fault it does so later, without a
// response.
func (g *group) serveOrder(w http.ResponseWriter, r *http.Request, rank int, faults upstreamFaults) {
	var o order
	if !decodeJSON(r, &o) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if faults.orderDelay > 0 {
		time.AfterFunc(faults.orderDelay, func() { g.executeOrder(rank, &o) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(g.executeOrder(rank, &o))
}

// executeOrder carries an order out if the rank's state allows it, and returns the HTTP
// status of the response.
func (g *group) executeOrder(rank int, o *order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	allowed := o.Epoch == g.epoch && g.open
	switch o.Op {
	case "prepare":
		allowed = allowed && o.Version > r.highestVersion && r.armed == nil
		if allowed {
			r.highestVersion, r.prepared = o.Version, &expertMap{version: o.Version, layers: o.Map}
		}
	case "arm":
		allowed = allowed && r.prepared != nil && r.prepared.version == o.Version && o.Step > g.step
		if allowed {
			r.armed = &armedMap{Version: o.Version, Step: o.Step}
		}
	case "disarm":
		allowed = allowed && r.current.version != o.Version
		if allowed && r.armed != nil && r.armed.Version == o.Version {
			r.armed = nil
		}
	case "hold":
		allowed = allowed && o.Step > g.step && (r.heldStep == nil || *r.heldStep == o.Step)
		if allowed {
			r.heldStep = &o.Step
		}
	case "go":
		allowed = allowed && r.heldStep != nil && *r.heldStep == o.Step
		if allowed {
			r.heldStep = nil
		}
	default:
		return http.StatusBadRequest
	}
	if !allowed {
		return http.StatusConflict
	}
	return http.StatusOK
}
