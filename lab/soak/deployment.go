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

// Limits that the platform sets. Most are in the settings of the processes.
const (
	heartbeatInterval = 500 * time.Millisecond
	// registrationExpiry is the time after the last heartbeat at which the registration
	// of an upstream expires.
	registrationExpiry = 3 * heartbeatInterval
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 4 * time.Second
	// revocationLimit is the time after which a revoked key must not be accepted.
	revocationLimit = 5 * time.Second
	// configLimit is the time after which a new configuration must be applied.
	configLimit = 2 * time.Second
	// drainLimit is the time after an upstream announced that it drains from which it
	// must receive no requests.
	drainLimit = 2 * time.Second
	// evacuateLimit is the time after which an evacuated failure domain must receive no
	// requests.
	evacuateLimit = 5 * time.Second
	// contactTimeout is the time without contact after which a process counts as
	// unreachable.
	contactTimeout = 3 * time.Second
	// The retries over all entries in any retryWindow may be at most retryRatio of the
	// requests, plus retrySlack.
	retryRatio  = 0.2
	retrySlack  = 60.0
	retryWindow = 10 * time.Second
)

// Parameters of the checks.
const (
	// minRecoveredShare is the share of requests that must be served after the faults.
	// The platform requires a quarter.
	minRecoveredShare = 0.25
	// recoveryTime is the time after the last fault by which callers must be served
	// again.
	recoveryTime = 6 * time.Second
	// staleTime is the time after a fault in which a process may still act on outdated
	// state.
	staleTime = contactTimeout + time.Second
)

// DeploymentSize is the size of a deployment.
type DeploymentSize struct {
	Entries        int
	Ranks          int
	PlainUpstreams int
}

// deployment is a simulated deployment of the platform. Its entries and agents are the
// programs under test.
type deployment struct {
	size DeploymentSize
	dir  string
	// port is the first port of the run, on which processes serve each other and the
	// operators. The next ones are for callers (1), readiness checks (2), metrics (3),
	// upstreams (10) and the links to upstreams (11).
	port         int
	rand         *rand.Rand
	checker      *checker
	store        *platformstore.Store
	storeAddress string
	group        *group
	upstreams    []*upstream
	entries      []*process
	agents       []*process
	stop         chan struct{}
	// version is the version of the current configuration.
	version int
	// config is the current configuration.
	config map[string]any

	mu sync.Mutex
	// keys holds the current key of each organisation.
	keys map[string]string
	// plainService is the service that the plain routes lead to.
	plainService string
	// evacuated is the failure domain that is evacuated, "" for none.
	evacuated string
	// keysCreated makes each key unique.
	keysCreated int
}

// Names in the deployment.
const (
	callersHost  = "work.example"
	pathDraft    = "/draft/a"
	pathFinal    = "/final/a"
	pathConfirm  = "/confirm/a"
	pathStatus   = "/status/a"
	modelService = "writers"
)

// plainServices are the services of plain work. Versions of the configuration move the
// plain routes between them.
var plainServices = []string{"desk-a", "desk-b"}

var failureDomains = []string{"z0", "z1", "z2"}

// operatorToken is the operators' bearer token at all entries.
const operatorToken = "operators-of-the-soak"

// portsPerRun is the number of ports that a run uses. The seed modulo 600 selects the
// ports, so that runs with different seeds can run at once.
const portsPerRun = 16

// newDeployment creates a deployment and starts it. bin is the directory of the programs.
func newDeployment(size DeploymentSize, bin, dir string, seed uint64) (*deployment, error) {
	d := &deployment{
		size: size, dir: dir, rand: rand.New(rand.NewPCG(seed, 1)), checker: newChecker(), store: platformstore.New(),
		stop: make(chan struct{}), keys: make(map[string]string), plainService: plainServices[0],
		port: 20000 + portsPerRun*int(seed%600),
	}
	d.checker.entriesHealthy = d.entriesHealthy
	d.checker.uninterruptedSince = d.uninterruptedSince
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	for _, organisation := range []string{"north", "south"} {
		d.replaceKey(organisation)
	}
	if err := d.writeConfig(); err != nil {
		return nil, err
	}
	if err := d.addUpstreams(seed); err != nil {
		return nil, err
	}
	return d, d.addProcesses(bin)
}

func (d *deployment) addUpstreams(seed uint64) error {
	d.group = newGroup("g", d.size.Ranks, d.checker, seed)
	for i := range d.size.Ranks {
		d.upstreams = append(d.upstreams, &upstream{host: fmt.Sprint("rank", i), service: modelService, group: d.group, rank: i, address: hostIP(2, i) + ":" + itoa(d.port+10)})
	}
	for i := range d.size.PlainUpstreams {
		d.upstreams = append(d.upstreams, &upstream{host: fmt.Sprint("desk", i), service: plainServices[i%len(plainServices)], address: hostIP(3, i) + ":" + itoa(d.port+10)})
	}
	for i, u := range d.upstreams {
		u.failureDomain, u.store, u.checker, u.rand = failureDomains[i%len(failureDomains)], d.store, d.checker, rand.New(rand.NewPCG(seed, uint64(100+i)))
		host, _, err := net.SplitHostPort(u.address)
		if err != nil {
			return errors.WithStack(err)
		}
		if u.link, err = link.NewAt(host+":"+itoa(d.port+11), u.address); err != nil {
			return err
		}
		if err := u.start(); err != nil {
			return err
		}
		go u.sendHeartbeats(d.stop)
	}
	go d.group.run()
	return nil
}

func (d *deployment) addProcesses(bin string) error {
	add := func(name, program, command, ip, failureDomain string, extra map[string]any) (*process, error) {
		store, err := link.New(d.storeAddress)
		if err != nil {
			return nil, err
		}
		p := &process{
			name: name, args: []string{filepath.Join(bin, program), command, "--log-format", "json", "--metrics-port", itoa(d.port + 3)}, env: []string{"ACACIAGLADE_OPERATOR_TOKEN=" + operatorToken},
			file: filepath.Join(d.dir, name+".json"), log: logFile(d.dir, name), store: store,
			settings: processSettings(d, name, ip, failureDomain, store.Address()),
		}
		for key, value := range extra {
			p.settings[key] = value
		}
		return p, p.start()
	}
	for i := range d.size.Entries {
		p, err := add(fmt.Sprint("entry", i), "acaciaglade", "platform-entry", hostIP(1, i), failureDomains[i%len(failureDomains)], nil)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for i := range d.size.Ranks {
		p, err := add(fmt.Sprint("agent", i), "acaciaglade-agent", "platform-agent", hostIP(2, i), failureDomains[i%len(failureDomains)],
			map[string]any{"app": d.upstreams[i].address, "service": modelService})
		if err != nil {
			return err
		}
		d.agents = append(d.agents, p)
	}
	return nil
}

// entriesHealthy reports whether no entry has had a fault since a time, up to now. It
// doesn't distinguish the entry that handled a request from the others.
func (d *deployment) entriesHealthy(since, _ time.Time) bool {
	for _, p := range d.entries {
		if !p.healthySince(since) {
			return false
		}
	}
	return true
}

// replaceKey replaces the key of an organisation by a new one.
func (d *deployment) replaceKey(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keysCreated++
	d.keys[organisation] = fmt.Sprintf("key-%s-%d", organisation, d.keysCreated)
}

// writeConfig writes the next version of the configuration. Keys and routes that it no
// longer contains count as revoked or replaced from the time of the write.
func (d *deployment) writeConfig() error {
	d.mu.Lock()
	d.version += 1 + d.rand.IntN(3)
	service := d.plainService
	keys := make(map[string]string, len(d.keys))
	for organisation, key := range d.keys {
		keys[organisation] = key
	}
	spec := d.buildConfig(service, keys)
	d.config = spec
	d.mu.Unlock()
	if err := d.store.Put("config", "main", spec); err != nil {
		return errors.WithStack(err)
	}
	d.checker.recordConfig(keys, service, time.Now())
	return nil
}

// buildConfig returns the configuration. The caller holds the lock.
func (d *deployment) buildConfig(plainService string, keys map[string]string) map[string]any {
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
		"spare": maxNewExperts, "expert-mb": 1, "link-mbps": 1000, "expert-share": 0.5, "form_ms": formationTime.Milliseconds(),
	}
	return map[string]any{
		"version": d.version,
		"routes": []map[string]any{
			route("draft", "/draft/", "streaming", modelService, true),
			route("final", "/final/", "streaming", modelService, false),
			route("confirm", "/confirm/", "unsafe", plainService, false),
			route("status", "/status/", "safe", plainService, false),
		},
		"services": []map[string]any{
			{"name": modelService, "max-conns": 200, "engine": engine},
			{"name": plainServices[0], "max-conns": 200},
			{"name": plainServices[1], "max-conns": 200},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
		"tenants": tenants,
	}
}

// close stops all processes, upstreams and background work of the deployment.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.stop()
	}
	close(d.stop)
	close(d.group.stop)
	for _, u := range d.upstreams {
		u.srv.Close()
		u.link.Close()
	}
}
