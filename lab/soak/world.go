package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Bounds that the platform sets, as the processes' settings name them.
const (
	heartbeat   = 500 * time.Millisecond
	lapseAfter  = 3 * heartbeat
	graceTook   = 4 * time.Second
	revokeAfter = 5 * time.Second
	configAfter = 2 * time.Second
	drainAfter  = 2 * time.Second
	contact     = 3 * time.Second
	retryRatio  = 0.2
	retrySlack  = 60.0
	retryWindow = 10 * time.Second
)

// What is checked.
const (
	// recoveredPart is the part of the callers that must be served after the faults:
	// the platform asks for a quarter.
	recoveredPart = 0.25
	// recoverWithin is the time after the last fault by which they must.
	recoverWithin = 6 * time.Second
	// touchSlack is how long before a request a process counts as out of touch after
	// a fault: what it knew then may be late.
	touchSlack = contact + time.Second
)

// DeploymentSize is the size of a deployment.
type DeploymentSize struct {
	Entries        int
	Ranks          int
	PlainUpstreams int
}

// world is one deployment.
type world struct {
	shape     DeploymentSize
	dir       string
	port      int
	rand      *rand.Rand
	ledger    *ledger
	store     *platformstore.Store
	storeAt   string
	group     *group
	upstreams []*upstream
	entries   []*process
	agents    []*process
	stop      chan struct{}
	version   int

	mu sync.Mutex
	// keys are the keys in force, by organisation.
	keys map[string]string
	// statusService is where plain work goes.
	statusService string
	keysMade      int
}

// Names of the deployment.
const (
	callersHost  = "work.example"
	pathDraft    = "/draft/a"
	pathFinal    = "/final/a"
	pathConfirm  = "/confirm/a"
	pathStatus   = "/status/a"
	modelService = "writers"
)

// services are those of plain work. Versions of the configuration move routes
// between them.
var services = []string{"desk-a", "desk-b"}

var zones = []string{"z0", "z1", "z2"}

// operatorToken is the operators' bearer token at all entries.
const operatorToken = "operators-of-the-soak"

// portsOfARun is how many ports a run takes; each run has others.
const portsOfARun = 16

// newWorld builds a deployment and starts it. bin holds the programs.
func newWorld(shape DeploymentSize, bin, dir string, seed uint64) (*world, error) {
	w := &world{
		shape: shape, dir: dir, rand: rand.New(rand.NewPCG(seed, 1)), ledger: newLedger(), store: platformstore.New(),
		stop: make(chan struct{}), keys: make(map[string]string), statusService: services[0],
		port: 20000 + portsOfARun*int(seed%600),
	}
	w.ledger.inTouch = w.inTouch
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	for _, organisation := range []string{"north", "south"} {
		w.newKey(organisation)
	}
	if err := w.configure(); err != nil {
		return nil, err
	}
	if err := w.addUpstreams(seed); err != nil {
		return nil, err
	}
	return w, w.addProcesses(bin)
}

func (w *world) addUpstreams(seed uint64) error {
	w.group = newGroup("g", w.shape.Ranks, w.ledger, seed)
	for i := range w.shape.Ranks {
		w.upstreams = append(w.upstreams, &upstream{host: fmt.Sprint("rank", i), service: modelService, group: w.group, rank: i, own: hostIP(2, i) + ":" + itoa(w.port+10)})
	}
	for i := range w.shape.PlainUpstreams {
		w.upstreams = append(w.upstreams, &upstream{host: fmt.Sprint("desk", i), service: services[i%len(services)], own: hostIP(3, i) + ":" + itoa(w.port+10)})
	}
	for i, u := range w.upstreams {
		u.zone, u.store, u.ledger, u.rand = zones[i%len(zones)], w.store, w.ledger, rand.New(rand.NewPCG(seed, uint64(100+i)))
		host, _, err := net.SplitHostPort(u.own)
		if err != nil {
			return errors.WithStack(err)
		}
		if u.link, err = link.NewAt(host+":"+itoa(w.port+11), u.own); err != nil {
			return err
		}
		if err := u.start(); err != nil {
			return err
		}
		go u.beat(w.stop)
	}
	go w.group.run()
	return nil
}

func (w *world) addProcesses(bin string) error {
	add := func(name, program, command, ip, zone string, extra map[string]any) (*process, error) {
		store, err := link.New(w.storeAt)
		if err != nil {
			return nil, err
		}
		p := &process{
			name: name, args: []string{filepath.Join(bin, program), command, "--log-format", "json", "--metrics-port", itoa(w.port + 3)}, env: []string{"ACACIAGLADE_OPERATOR_TOKEN=" + operatorToken},
			file: filepath.Join(w.dir, name+".json"), log: logFile(w.dir, name), store: store,
			settings: settingsOf(w, name, ip, zone, store.Address()),
		}
		for key, value := range extra {
			p.settings[key] = value
		}
		return p, p.start()
	}
	for i := range w.shape.Entries {
		p, err := add(fmt.Sprint("entry", i), "acaciaglade", "platform-entry", hostIP(1, i), zones[i%len(zones)], nil)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	for i := range w.shape.Ranks {
		p, err := add(fmt.Sprint("agent", i), "acaciaglade-agent", "platform-agent", hostIP(2, i), zones[i%len(zones)],
			map[string]any{"app": w.upstreams[i].own, "service": modelService})
		if err != nil {
			return err
		}
		w.agents = append(w.agents, p)
	}
	return nil
}

// inTouch reports whether no fault excuses any entry in a span. Whether one excuses
// the entry that a request took is not told apart.
func (w *world) inTouch(since, _ time.Time) bool {
	for _, p := range w.entries {
		if !p.soundSince(since) {
			return false
		}
	}
	return true
}

// newKey gives an organisation a key in place of the one that it had.
func (w *world) newKey(organisation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keysMade++
	w.keys[organisation] = fmt.Sprintf("key-%s-%d", organisation, w.keysMade)
}

// configure writes the next version of the configuration. The time of the write is
// when what it drops ends.
func (w *world) configure() error {
	w.mu.Lock()
	w.version += 1 + w.rand.IntN(3)
	status := w.statusService
	keys := make(map[string]string, len(w.keys))
	for organisation, key := range w.keys {
		keys[organisation] = key
	}
	spec := w.config(status, keys)
	w.mu.Unlock()
	if err := w.store.Put("config", "main", spec); err != nil {
		return errors.WithStack(err)
	}
	w.ledger.configured(keys, status, time.Now())
	return nil
}

// config is the configuration. The caller holds the lock.
func (w *world) config(status string, keys map[string]string) map[string]any {
	route := func(name, prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": callersHost, "path-prefix": prefix, "kind": kind, "service": service, "resumable": resumable,
			"timeout-ms": 8000, "slo-ms": 400, "gap-slo-ms": 120, "priority": 5, "max-attempts": 3,
		}
	}
	var tenants []map[string]any
	for organisation, key := range keys {
		tenants = append(tenants, map[string]any{"name": organisation, "api-keys": []string{key}})
	}
	engine := map[string]any{
		"slots": slots, "stride": 1, "step_ms": 40, "sets": layers, "experts": experts, "placements": expertSlots,
		"spare": spare, "expert-mb": 1, "link-mbps": 1000, "expert-share": 0.5, "form_ms": formTook.Milliseconds(),
	}
	return map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			route("draft", "/draft/", "streaming", modelService, true),
			route("final", "/final/", "streaming", modelService, false),
			route("confirm", "/confirm/", "unsafe", status, false),
			route("status", "/status/", "safe", status, false),
		},
		"services": []map[string]any{
			{"name": modelService, "max-conns": 200, "engine": engine},
			{"name": services[0], "max-conns": 200},
			{"name": services[1], "max-conns": 200},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
		"tenants": tenants,
	}
}

// close ends all that the world started.
func (w *world) close() {
	for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
		p.stop()
	}
	close(w.stop)
	close(w.group.stop)
	for _, u := range w.upstreams {
		u.srv.Close()
		u.link.Close()
	}
}
