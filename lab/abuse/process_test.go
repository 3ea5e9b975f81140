package abuse

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// Limits in the settings of the processes under test.
const (
	memoryMB       = 128
	maxDescriptors = 400
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

// Names in the configuration of the entry under test.
const (
	callersHost = "work.example"
	callersKey  = "key-of-north"
	// pathStatus is idempotent work, pathConfirm is not.
	pathStatus  = "/status/a"
	pathConfirm = "/confirm/a"
)

// Ports of the processes, each of which has a loopback address of its own.
const (
	portPeers   = 7340
	portCallers = 7360
	portReady   = 7361
	portMetrics = 7362
)

var (
	// programs is the folder of the programs under test.
	programs string
	// lastHost numbers the loopback addresses that were used.
	lastHost atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	return m.Run()
}

// buildPrograms builds the programs under test once.
func buildPrograms(t *testing.T) {
	t.Helper()
	if _, err := os.Stat(filepath.Join(programs, "lab")); err == nil {
		return
	}
	if err := deploy.Build(t.Context(), programs); err != nil {
		t.Fatal(err)
	}
}

// process is a program under test.
type process struct {
	pid int
	ip  string
	// port is that of a process with only one listener.
	port  int
	log   string
	ended chan struct{}
}

// address returns the address of one of the process's listeners.
func (p *process) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// peakMemory returns the most memory that the process has had resident, in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		t.Fatal("the peak memory can't be read from /proc/PID/status")
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	const length = 2000
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-length):])
}

// start starts a program on the platform, with settings in addition to those that all have.
func start(t *testing.T, program, command, store string, settings map[string]any) *process {
	t.Helper()
	buildPrograms(t)
	n := int(lastHost.Add(1))
	p := &process{
		ip:    net.IPv4(127, 9, byte(os.Getpid()), byte(n)).String(),
		log:   filepath.Join(t.TempDir(), "log"),
		ended: make(chan struct{}),
	}
	all := map[string]any{
		"node": fmt.Sprint("host", n), "ip": p.ip, "zone": "z0", "region": "r", "zones": map[string]string{"z0": "r"},
		"listen":         map[string]string{"front": p.address(portCallers), "ready-address": p.address(portReady)},
		"internal-ports": []int{portPeers, portPeers + 9}, "bootstrap": true, "heartbeat-ms": 500,
		"limits": map[string]any{"memory-mb": memoryMB, "max-fds": maxDescriptors},
		"bounds": map[string]any{
			"grace-s": 4, "revoke-ms": 5000, "strict-revoke": true, "retry-ratio": 0.2, "retry-slack": 60, "retry-window-s": 10,
			"evacuate-ms": 5000, "drain-ms": 2000, "contact-ms": 3000, "cold-overage": 1.5, "cold-slack": 5,
		},
		"platform": map[string]any{"address": store},
	}
	for name, value := range settings {
		all[name] = value
	}
	raw, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(programs, program), command, "--settings", file, "--metrics-port", strconv.Itoa(portMetrics), "--log-format", "json")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// startEntry starts an entry, its store and an upstream, and waits until a request is served.
func startEntry(t *testing.T) *process {
	t.Helper()
	store := platformstore.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	upstream := newUpstream(t)
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": callersHost, "path-prefix": prefix, "kind": kind, "service": "desk",
			"timeout-ms": 8000, "slo-ms": 400, "priority": 5, "max-attempts": 3,
		}
	}
	err := store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("status", "/status/", "safe"), route("confirm", "/confirm/", "unsafe")},
		"services": []map[string]any{{"name": "desk", "max-conns": 200}},
		"limits":   map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
		"tenants":  []map[string]any{{"name": "north", "api-keys": []string{callersKey}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	register(t, store, upstream)
	p := start(t, "acaciaglade", "platform-entry", storeServer.Listener.Addr().String(), nil)
	p.awaitServed(t)
	return p
}

// startAgent starts an agent beside an engine that does not answer.
func startAgent(t *testing.T) *process {
	t.Helper()
	store := httptest.NewServer(platformstore.New())
	t.Cleanup(store.Close)
	p := start(t, "acaciaglade-agent", "platform-agent", store.Listener.Addr().String(), map[string]any{"app": "127.0.0.1:1", "service": "writers"})
	p.awaitAnswer(t, portMetrics, "/metrics")
	return p
}

// upstreamSlots is the number of requests that the upstream runs at once.
const upstreamSlots = 6

// register lists an upstream in the store, and renews its registration until the test ends.
func register(t *testing.T, store *platformstore.Store, address string) {
	t.Helper()
	put := func(seq int) {
		err := store.Put("servers", "i-desk", map[string]any{
			"service": "desk", "address": address, "zone": "z0", "version": "1", "slots": upstreamSlots,
			"state": "ready", "seq": seq, "born": 1, "cold-left-ms": 0,
		})
		if err != nil {
			t.Error(err)
		}
	}
	put(1)
	go func() {
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for seq := 2; ; seq++ {
			select {
			case <-t.Context().Done():
				return
			case <-tick.C:
				put(seq)
			}
		}
	}()
}

// workTime is how long the upstream works on a request.
const workTime = 20 * time.Millisecond

// newUpstream starts an upstream that reads requests and responds with as many bytes as their
// query asks for.
func newUpstream(t *testing.T) string {
	t.Helper()
	var running atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", id)
		defer running.Add(-1)
		if running.Add(1) > upstreamSlots {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(workTime)
		length, err := strconv.Atoi(r.URL.Query().Get("bytes"))
		if err != nil {
			length = 0
		}
		w.Header().Set("X-Replica-Seal", "seal-"+id)
		_, _ = io.WriteString(w, "done "+id+strings.Repeat("x", length))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
