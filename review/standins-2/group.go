package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Shape and times of the model group, as in the small sites.
const (
	groupRanks   = 12
	layers       = 4
	experts      = 72
	placements   = 8
	spare        = 3
	expertMB     = 2200
	linkMbps     = 180_000
	slots        = 12
	passTime     = 40 * time.Millisecond
	stallTime    = 1500 * time.Millisecond
	formTime     = 600 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	reportLag    = 200 * time.Millisecond
	streamEvents = 20
	groupName    = "g1"
	modelService = "writers"
	shiftEvery   = 3 * time.Second
)

// copyTime is the time in which a rank copies one expert.
const copyTime = expertMB * 8 * time.Second / linkMbps

// expertMap is one version of the map: the experts by layer and rank.
type expertMap struct {
	version uint64
	layers  [][][]int
}

// group is a rank group: all ranks run each pass together.
type group struct {
	log   *recorder
	store *Store

	mu    sync.Mutex
	epoch uint64
	open  bool
	step  uint64
	// members holds the replica of each rank, nil for none.
	members [groupRanks]*replica
	// nextPass is closed as a pass begins, or when streams are to look again.
	nextPass chan struct{}
	waiting  int
	popular  int
	passes   int
	switches int
	// mixed counts the passes that began while two ranks had different maps.
	mixed int
	// onHold is called when an order to hold a pass is accepted. It may be nil.
	onHold func()
}

// replica is one boot of a model replica on a side machine.
type replica struct {
	g *group
	// machine is the number of its side machine. own is the address for the agent on that machine,
	// public the one that it registers.
	machine     int
	own, public string
	zone        string
	id          string
	born        int64
	servers     []*http.Server
	gone        chan struct{}
	// badReport may spoil an answer to GET /report of the agent on the same machine.
	badReport func() bool

	// The fields below are guarded by the group's lock.
	alive    bool
	rank     int
	seq      int
	running  int
	current  expertMap
	prepared *expertMap
	// preparedAt is when the copy is complete. highest is the highest version that it has had.
	preparedAt time.Time
	highest    uint64
	armed      *armedMap
	held       *uint64
	counts     []uint64
	// lagged is its report as other machines see it.
	lagged   []byte
	laggedAt time.Time
}

type armedMap struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

func newGroup(log *recorder, store *Store) *group {
	return &group{log: log, store: store, epoch: 0, nextPass: make(chan struct{})}
}

// mapZero assigns the experts in turn.
func mapZero() expertMap {
	m := expertMap{}
	for range layers {
		layer := make([][]int, groupRanks)
		for e := range experts {
			layer[e%groupRanks] = append(layer[e%groupRanks], e)
		}
		m.layers = append(m.layers, layer)
	}
	return m
}

// start starts a new boot of the replica of a machine. It joins the group with the lowest rank
// that is free, and registers itself.
func (g *group) start(machine int, own, public, zone string) (*replica, error) {
	u := &replica{
		g: g, machine: machine, own: own, public: public, zone: zone, id: fmt.Sprintf("i-%08x", rand.Uint32()),
		born: time.Now().UnixMilli(), gone: make(chan struct{}), alive: true, rank: -1, counts: make([]uint64, layers*experts), current: mapZero(),
	}
	for _, address := range []string{own, public} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		isOwn := address == own
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, isOwn) })}
		u.servers = append(u.servers, srv)
		go func() { _ = srv.Serve(l) }()
	}
	g.mu.Lock()
	u.rank = slices.Index(g.members[:], nil)
	g.members[u.rank] = u
	complete := !slices.Contains(g.members[:], nil)
	g.log.add("replica %s started on machine %d (%s), rank %d", u.id, machine, public, u.rank)
	g.mu.Unlock()
	go u.beat()
	if complete {
		time.AfterFunc(formTime, g.form)
	}
	return u, nil
}

// form opens the group in a new epoch, with map 0 and nothing prepared, armed or held.
func (g *group) form() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open || slices.Contains(g.members[:], nil) {
		return
	}
	g.epoch++
	g.open = true
	var places []string
	for i, u := range g.members {
		u.current, u.prepared, u.armed, u.held = mapZero(), nil, nil, nil
		places = append(places, fmt.Sprintf("%d:machine %d", i, u.machine))
	}
	g.log.add("the group opens in epoch %d (ranks %s)", g.epoch, strings.Join(places, ", "))
}

// crash ends the boot of a replica without a word. Its registration is removed after three
// heartbeats of silence.
func (u *replica) crash() {
	g := u.g
	g.mu.Lock()
	u.alive = false
	close(u.gone)
	g.members[u.rank] = nil
	wasOpen := g.open
	g.open = false
	g.log.add("replica %s on machine %d (rank %d) crashes", u.id, u.machine, u.rank)
	g.mu.Unlock()
	for _, srv := range u.servers {
		srv.Close()
	}
	time.AfterFunc(3*heartbeat, func() { g.store.remove("servers", u.id) })
	if wasOpen {
		// All ranks stall, and then cut their work off.
		time.AfterFunc(stallTime, g.wake)
	}
}

func (g *group) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.nextPass)
	g.nextPass = make(chan struct{})
}

// beat registers the replica within half a heartbeat of its start, and again about each heartbeat.
func (u *replica) beat() {
	time.Sleep(time.Duration(rand.Int64N(int64(heartbeat / 2))))
	u.register()
	for {
		select {
		case <-u.gone:
			return
		case <-time.After(time.Duration((0.9 + 0.2*rand.Float64()) * float64(heartbeat))):
			u.register()
		}
	}
}

func (u *replica) register() {
	g := u.g
	g.mu.Lock()
	if !u.alive {
		g.mu.Unlock()
		return
	}
	u.seq++
	spec := map[string]any{
		"service": modelService, "address": u.public, "zone": u.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold-left-ms": 0, "seq": u.seq, "born": u.born, "group": g.membership(u.rank), "size": groupRanks, "stage": "colocated",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	}
	g.mu.Unlock()
	g.store.put("servers", u.id, spec)
}

// membership returns a rank's group on the wire. The caller holds the lock.
func (g *group) membership(rank int) map[string]any {
	state := "broken"
	if g.open {
		state = "open"
	}
	return map[string]any{"name": groupName, "epoch": g.epoch, "rank": rank, "state": state}
}

// run runs the passes and the shifts of popularity until ctx ends.
func (g *group) run(ctx context.Context) {
	tick, shift := time.NewTicker(passTime), time.NewTicker(shiftEvery)
	defer tick.Stop()
	defer shift.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.pass()
		case <-shift.C:
			g.mu.Lock()
			g.popular = rand.IntN(experts)
			g.mu.Unlock()
		}
	}
}

// pass begins the next pass unless there is no work or a rank holds it, and checks that all ranks
// have the same map in it.
func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := g.step + 1
	if !g.open || g.waiting == 0 {
		return
	}
	for _, u := range g.members {
		if u.held != nil && *u.held == step {
			return
		}
	}
	g.step = step
	g.passes++
	switched := false
	for _, u := range g.members {
		if u.armed != nil && u.armed.Step == step {
			u.current, u.prepared, u.armed = *u.prepared, nil, nil
			switched = true
		}
		for l := range layers {
			for range 40 {
				e := rand.IntN(experts)
				if rand.IntN(2) == 0 {
					e = (g.popular + rand.IntN(3)) % experts
				}
				u.counts[l*experts+e] += 4
			}
		}
	}
	if switched {
		g.switches++
		g.log.add("pass %d begins with a new map: %s", step, g.versions())
	}
	for _, u := range g.members {
		if first := g.members[0]; u.current.version != first.current.version || !sameLayers(u.current.layers, first.current.layers) {
			if g.mixed++; g.mixed <= 20 {
				g.log.add("MAP: pass %d of epoch %d begins with different maps: %s", step, g.epoch, g.versions())
			}
			break
		}
	}
	close(g.nextPass)
	g.nextPass = make(chan struct{})
}

// versions lists the version of each rank's map. The caller holds the lock.
func (g *group) versions() string {
	var out []string
	for i, u := range g.members {
		out = append(out, fmt.Sprintf("%d:%d", i, u.current.version))
	}
	return strings.Join(out, " ")
}

func sameLayers(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool {
		return slices.EqualFunc(x, y, func(p, q []int) bool {
			return slices.Equal(slices.Sorted(slices.Values(p)), slices.Sorted(slices.Values(q)))
		})
	})
}

// awaitPass waits for a pass. It returns false if the caller has left or the group is broken.
func (g *group) awaitPass(ctx context.Context, epoch uint64) bool {
	g.mu.Lock()
	g.waiting++
	next := g.nextPass
	g.mu.Unlock()
	select {
	case <-next:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
	return ctx.Err() == nil && g.open && g.epoch == epoch
}

func (u *replica) serve(w http.ResponseWriter, r *http.Request, isOwn bool) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		u.serveReport(w, r, isOwn)
	case r.Method == http.MethodGet && r.URL.Path == "/picked":
		u.servePicked(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		u.serveOrder(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		w.Header().Set("X-Replica-Id", u.id)
		w.WriteHeader(http.StatusOK)
	default:
		u.serveStream(w, r)
	}
}

// report returns what the replica says of itself. The caller holds the lock.
func (u *replica) report(now time.Time) []byte {
	g := u.g
	out := map[string]any{
		"born": u.born, "stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"busy": false, "seq": 0, "queued": 0, "active": u.running, "kv-used": 0, "kv-total": 494000, "handles": 0, "pace": 1,
		"group": g.membership(u.rank), "size": groupRanks, "step": g.step, "map": u.current.version,
	}
	if u.prepared != nil && !now.Before(u.preparedAt) {
		out["prepared"] = u.prepared.version
	}
	if u.armed != nil {
		out["armed"] = *u.armed
	}
	if u.held != nil {
		out["held"] = *u.held
	}
	raw, _ := json.Marshal(out)
	return raw
}

// serveReport answers with a fresh report on the own machine, and elsewhere with one of up to
// reportLag ago.
func (u *replica) serveReport(w http.ResponseWriter, r *http.Request, isOwn bool) {
	u.g.mu.Lock()
	now := time.Now()
	raw := u.report(now)
	if !isOwn {
		if now.Sub(u.laggedAt) > reportLag {
			u.lagged, u.laggedAt = raw, now
		}
		raw = u.lagged
	}
	u.g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if isOwn && u.badReport != nil && u.badReport() {
		u.g.log.add("replica %s: GET /report of its own machine gets bytes without end", u.id)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, " ")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		u.g.log.add("replica %s: the caller has closed the channel of that GET /report", u.id)
		return
	}
	_, _ = w.Write(raw)
}

func (u *replica) servePicked(w http.ResponseWriter, r *http.Request) {
	u.g.mu.Lock()
	out := map[string]any{"step": u.g.step, "epoch": u.g.epoch, "counts": slices.Clone(u.counts)}
	if strings.Contains(r.URL.RawQuery, "lists") {
		held := [][]int{}
		for _, layer := range u.current.layers {
			held = append(held, layer[u.rank])
		}
		out = map[string]any{"step": u.g.step, "epoch": u.g.epoch, "map": map[string]any{"version": u.current.version, "experts": held}}
	}
	u.g.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

type order struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   uint64    `json:"epoch"`
	Map     [][][]int `json:"map"`
}

func (u *replica) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := u.g
	g.mu.Lock()
	status := u.execute(&o, time.Now())
	g.log.add("order %s version %d step %d epoch %d at rank %d (machine %d): %d", o.Op, o.Version, o.Step, o.Epoch, u.rank, u.machine, status)
	g.mu.Unlock()
	w.WriteHeader(status)
}

// execute carries an order out and returns the status: 202 if it has begun, 200 if the state
// already holds, 409 if it does not fit. The caller holds the lock.
func (u *replica) execute(o *order, now time.Time) int {
	g := u.g
	if o.Epoch != g.epoch || !g.open {
		return http.StatusConflict
	}
	begun := o.Step <= g.step
	switch o.Op {
	case "prepare":
		switch {
		case u.prepared != nil && u.prepared.version == o.Version && sameLayers(u.prepared.layers, o.Map):
			return http.StatusOK
		case o.Version <= u.highest || u.armed != nil || len(o.Map) != layers:
			return http.StatusConflict
		}
		added := 0
		for l, layer := range o.Map {
			n := 0
			for _, e := range layer[u.rank] {
				if !slices.Contains(u.current.layers[l][u.rank], e) {
					n++
				}
			}
			if n > spare || len(layer[u.rank]) > placements {
				return http.StatusConflict
			}
			added += n
		}
		u.highest, u.prepared, u.preparedAt = o.Version, &expertMap{o.Version, o.Map}, now.Add(time.Duration(added)*copyTime)
		return http.StatusAccepted
	case "arm":
		switch {
		case u.armed != nil && *u.armed == armedMap{o.Version, o.Step}:
			return http.StatusOK
		case u.armed != nil || begun || u.prepared == nil || u.prepared.version != o.Version || now.Before(u.preparedAt):
			return http.StatusConflict
		}
		u.armed = &armedMap{o.Version, o.Step}
		return http.StatusAccepted
	case "disarm":
		switch {
		case u.current.version == o.Version:
			return http.StatusConflict
		case u.armed == nil || u.armed.Version != o.Version:
			return http.StatusOK
		}
		u.armed = nil
		return http.StatusAccepted
	case "hold":
		switch {
		case u.held != nil && *u.held == o.Step:
			return http.StatusOK
		case begun || u.held != nil && *u.held > g.step:
			return http.StatusConflict
		}
		u.held = &o.Step
		if g.onHold != nil {
			g.onHold()
		}
		return http.StatusAccepted
	case "go":
		if u.held == nil || *u.held != o.Step {
			return http.StatusOK
		}
		u.held = nil
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// serveStream runs a request: an event for each pass, after the one that Last-Event-Id names.
func (u *replica) serveStream(w http.ResponseWriter, r *http.Request) {
	g, attempt := u.g, r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Replica-Id", u.id)
	g.mu.Lock()
	epoch, ok := g.epoch, g.open && u.running < slots
	if ok {
		u.running++
	}
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", u.running, slots))
	g.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != u.id {
		if ok {
			u.finish()
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !ok {
		u.refuse(w)
		return
	}
	defer u.finish()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= streamEvents; n++ {
		if !g.awaitPass(r.Context(), epoch) {
			if r.Context().Err() == nil && n == first+1 {
				u.refuse(w)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if n == first+1 {
			g.log.add("replica %s runs %s from event %d", u.id, attempt, n)
			w.Header().Set("X-Replica-Seal", seal(attempt))
			w.Header().Set("Content-Type", "text/event-stream")
		}
		_, _ = io.WriteString(w, streamEvent(attempt, n))
		w.(http.Flusher).Flush()
	}
}

func (u *replica) finish() {
	u.g.mu.Lock()
	defer u.g.mu.Unlock()
	u.running--
}

// refuse turns a request away because the group is broken, or for want of a slot.
func (u *replica) refuse(w http.ResponseWriter) {
	u.g.mu.Lock()
	broken := !u.g.open
	u.g.mu.Unlock()
	if broken {
		w.Header().Set("At-Server", "unknown")
	}
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func seal(attempt string) string { return "3e1b.07.5a2." + attempt }

func streamEvent(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, attempt, n)
}
