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

// Shape of the stand-in's model.
const (
	layers      = 2
	experts     = 24
	expertSlots = 10
	spare       = 6
)

// Times of a group.
const (
	passTook  = 40 * time.Millisecond
	stallTook = 600 * time.Millisecond
	formTook  = 300 * time.Millisecond
)

// group is the ranks of one model, which make each pass together.
type group struct {
	name   string
	ledger *ledger
	stop   chan struct{}

	mu    sync.Mutex
	epoch uint64
	open  bool
	step  uint64
	ranks []*rank
	// next is closed when a pass begins or the group breaks.
	next    chan struct{}
	waiting int
	rand    *rand.Rand
	// hot moves the popular experts.
	hot int
}

// rank is one rank's part of the group.
type rank struct {
	alive    bool
	upstream *upstream
	active   mapVersion
	prepared *mapVersion
	highest  uint64
	armed    *armed
	held     *uint64
	counts   []uint64
}

type mapVersion struct {
	version uint64
	layers  [][][]int
}

type armed struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

func newGroup(name string, ranks int, l *ledger, seed uint64) *group {
	g := &group{name: name, ledger: l, stop: make(chan struct{}), next: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 3))}
	for range ranks {
		g.ranks = append(g.ranks, &rank{counts: make([]uint64, layers*experts)})
	}
	return g
}

// firstMap deals the experts out in turn.
func (g *group) firstMap() mapVersion {
	m := mapVersion{}
	for range layers {
		layer := make([][]int, len(g.ranks))
		for e := range experts {
			layer[e%len(g.ranks)] = append(layer[e%len(g.ranks)], e)
		}
		m.layers = append(m.layers, layer)
	}
	return m
}

// join takes a rank that has started. The group opens once all are there.
func (g *group) join(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[u.rank].alive, g.ranks[u.rank].upstream = true, u
	if slices.ContainsFunc(g.ranks, func(r *rank) bool { return !r.alive }) {
		return
	}
	time.AfterFunc(formTook, g.form)
}

// form opens the group in a new epoch.
func (g *group) form() {
	g.mu.Lock()
	if g.open || slices.ContainsFunc(g.ranks, func(r *rank) bool { return !r.alive }) {
		g.mu.Unlock()
		return
	}
	g.epoch++
	g.open = true
	for _, r := range g.ranks {
		r.active, r.prepared, r.armed, r.held = g.firstMap(), nil, nil, nil
	}
	list := g.upstreams()
	g.mu.Unlock()
	registerAll(list, g.ledger)
}

func (g *group) upstreams() []*upstream {
	var list []*upstream
	for _, r := range g.ranks {
		if r.alive {
			list = append(list, r.upstream)
		}
	}
	return list
}

func registerAll(list []*upstream, l *ledger) {
	for _, u := range list {
		if err := u.register(); err != nil {
			l.Violate("the stand-in can't register: %v", err)
		}
	}
}

// leave breaks the group, as one of its ranks has ended. What runs stalls first.
func (g *group) leave() {
	g.mu.Lock()
	g.open = false
	for _, r := range g.ranks {
		if r.alive && !r.upstream.isAlive() {
			r.alive = false
		}
	}
	list := g.upstreams()
	g.mu.Unlock()
	registerAll(list, g.ledger)
	time.AfterFunc(stallTook, g.wake)
}

// wake lets what waits for a pass look again.
func (g *group) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.next)
	g.next = make(chan struct{})
}

// describe adds a rank's place to its registration.
func (g *group) describe(rank int, spec map[string]any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	spec["group"], spec["size"] = g.place(rank), len(g.ranks)
}

func (g *group) place(rank int) map[string]any {
	state := "broken"
	if g.open {
		state = "open"
	}
	return map[string]any{"name": g.name, "epoch": g.epoch, "rank": rank, "state": state}
}

// run makes passes while anything waits for one, until stop is closed.
func (g *group) run() {
	tick := time.NewTicker(passTook)
	defer tick.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-tick.C:
			g.begin()
		}
	}
}

// begin begins a pass, unless a rank holds it.
func (g *group) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.step + 1
	if !g.open || g.waiting == 0 {
		return
	}
	for _, r := range g.ranks {
		if r.held != nil && *r.held == step {
			return
		}
	}
	g.step = step
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == step {
			r.active, r.prepared, r.armed = *r.prepared, nil, nil
		}
		g.pick(r)
	}
	for i, r := range g.ranks {
		if r.active.version != g.ranks[0].active.version || !sameMap(r.active.layers, g.ranks[0].active.layers) {
			g.ledger.Violate("pass %d of epoch %d began with map %d at rank %d and map %d at rank 0", step, g.epoch, r.active.version, i, g.ranks[0].active.version)
		}
	}
	close(g.next)
	g.next = make(chan struct{})
}

// pick counts the experts that a rank's requests chose: some are hot.
func (g *group) pick(r *rank) {
	for l := range layers {
		for range 200 {
			e := g.rand.IntN(experts)
			if g.rand.IntN(2) == 0 {
				e = (g.hot + g.rand.IntN(3)) % experts
			}
			r.counts[l*experts+e]++
		}
	}
}

func sameMap(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool {
		return slices.EqualFunc(x, y, func(p, q []int) bool {
			p, q = slices.Sorted(slices.Values(p)), slices.Sorted(slices.Values(q))
			return slices.Equal(p, q)
		})
	})
}

// pass waits for the next pass. It reports false when the group breaks.
func (g *group) pass(ctx context.Context) bool {
	g.mu.Lock()
	g.waiting++
	next, epoch := g.next, g.epoch
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.waiting--
		g.mu.Unlock()
	}()
	select {
	case <-next:
	case <-ctx.Done():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open && g.epoch == epoch
}

// serve answers an engine's own calls. It reports false for requests of callers.
func (g *group) serve(w http.ResponseWriter, r *http.Request, u *upstream, faults upstreamFaults) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		g.report(w, u)
	case r.Method == http.MethodGet && r.URL.Path == "/picked":
		g.picked(w, r, u.rank)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		g.order(w, r, u.rank, faults)
	default:
		return false
	}
	return true
}

func (g *group) report(w http.ResponseWriter, u *upstream) {
	u.mu.Lock()
	out := map[string]any{"born": u.born, "active": u.running, "queued": 0, "pace": 1, "seq": 0}
	u.mu.Unlock()
	g.mu.Lock()
	rank := g.ranks[u.rank]
	out["group"], out["size"], out["step"], out["map"] = g.place(u.rank), len(g.ranks), g.step, rank.active.version
	if rank.prepared != nil {
		out["prepared"] = rank.prepared.version
	}
	if rank.armed != nil {
		out["armed"] = *rank.armed
	}
	if rank.held != nil {
		out["held"] = *rank.held
	}
	g.mu.Unlock()
	write(w, out)
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (g *group) picked(w http.ResponseWriter, r *http.Request, rank int) {
	g.mu.Lock()
	out := map[string]any{"step": g.step, "epoch": g.epoch, "counts": slices.Clone(g.ranks[rank].counts)}
	if strings.Contains(r.URL.RawQuery, "lists") {
		own := [][]int{}
		for _, layer := range g.ranks[rank].active.layers {
			own = append(own, layer[rank])
		}
		out = map[string]any{"epoch": g.epoch, "map": map[string]any{"version": g.ranks[rank].active.version, "experts": own}}
	}
	g.mu.Unlock()
	write(w, out)
}

// order is an order to a rank.
type order struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   uint64    `json:"epoch"`
	Map     [][][]int `json:"map"`
}

// order carries an order out, late and without an answer when that is the fault.
func (g *group) order(w http.ResponseWriter, r *http.Request, rank int, faults upstreamFaults) {
	var o order
	if !decode(r, &o) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if faults.lateOrders > 0 {
		time.AfterFunc(faults.lateOrders, func() { g.obey(rank, &o) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(g.obey(rank, &o))
}

// obey carries an order out if it fits the rank's state.
func (g *group) obey(n int, o *order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	fits := o.Epoch == g.epoch && g.open
	switch o.Op {
	case "prepare":
		fits = fits && o.Version > r.highest && r.armed == nil
		if fits {
			r.highest, r.prepared = o.Version, &mapVersion{version: o.Version, layers: o.Map}
		}
	case "arm":
		fits = fits && r.prepared != nil && r.prepared.version == o.Version && o.Step > g.step
		if fits {
			r.armed = &armed{Version: o.Version, Step: o.Step}
		}
	case "disarm":
		fits = fits && r.active.version != o.Version
		if fits && r.armed != nil && r.armed.Version == o.Version {
			r.armed = nil
		}
	case "hold":
		fits = fits && o.Step > g.step && (r.held == nil || *r.held == o.Step)
		if fits {
			r.held = &o.Step
		}
	case "go":
		fits = fits && r.held != nil && *r.held == o.Step
		if fits {
			r.held = nil
		}
	default:
		return http.StatusBadRequest
	}
	if !fits {
		return http.StatusConflict
	}
	return http.StatusOK
}
