package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// plainConfig configures one boot of a replica of the plain service, which is a process of its own.
type plainConfig struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Store   string        `json:"store"`
	Work    time.Duration `json:"work"`
	// Unframed is the share of the answers that have no length and end with their channel.
	Unframed float64 `json:"unframed"`
	// Raw replicas serve their channels themselves. Extra is the share of their answers that a
	// broken second one follows.
	Raw   bool    `json:"raw"`
	Extra float64 `json:"extra"`
}

const (
	plainSlots = 6
	// bodyParts is the number of parts in which a replica writes a body, bodyTime the time for all.
	bodyParts = 8
	bodyTime  = 60 * time.Millisecond
)

// plainBody returns the whole body of an answer.
func plainBody(attempt string) []byte {
	line := "done " + attempt + "\n"
	return []byte(strings.Repeat(line, 40) + "end\n")
}

// runPlainReplica runs a replica of the plain service until it is killed. It writes the attempts
// that it runs to its standard output.
func runPlainReplica(raw string) {
	var c plainConfig
	if err := json.Unmarshal([]byte(raw), &c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go c.beat(time.Now().UnixMilli())
	free := make(chan struct{}, plainSlots)
	if c.Raw {
		raw := &rawReplica{c, free, time.Now()}
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go raw.serve(conn)
		}
	}
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, free) }))
}

// beat registers the replica, and again each heartbeat.
func (c *plainConfig) beat(born int64) {
	for seq := 1; ; seq++ {
		raw, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": c.ID}, "spec": map[string]any{
			"service": orderService, "address": c.Address, "zone": c.Zone, "version": "v1", "slots": plainSlots, "state": "ready",
			"cold-left-ms": 0, "seq": seq, "born": born,
		}})
		method, path := http.MethodPut, "/objects/servers/"+c.ID
		if seq == 1 {
			method, path = http.MethodPost, "/objects/servers"
		}
		req, _ := http.NewRequest(method, "http://"+c.Store+path, bytes.NewReader(raw))
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (c *plainConfig) serve(w http.ResponseWriter, r *http.Request, free chan struct{}) {
	attempt, h := r.Header.Get("X-Attempt-Id"), w.Header()
	_, _ = io.Copy(io.Discard, r.Body)
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Replica-Id", c.ID)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != c.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case free <- struct{}{}:
		defer func() { <-free }()
	default:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", len(free), plainSlots))
	fmt.Printf("%s runs %s\n", c.ID, attempt)
	time.Sleep(c.Work)
	h.Set("X-Replica-Seal", seal(attempt))
	body := plainBody(attempt)
	if rand.Float64() >= c.Unframed {
		h.Set("Content-Length", fmt.Sprint(len(body)))
		writeParts(w, body, w.(http.Flusher).Flush)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s\r\nConnection: close\r\n\r\n", attempt, seal(attempt))
	writeParts(conn, body, func() {})
}

// writeParts writes a body in parts, as a replica does that produces it while it writes.
func writeParts(w io.Writer, body []byte, flush func()) {
	size := (len(body) + bodyParts - 1) / bodyParts
	for at := 0; at < len(body); at += size {
		time.Sleep(bodyTime / bodyParts)
		_, _ = w.Write(body[at:min(at+size, len(body))])
		flush()
	}
}

// plainReplica is a running replica of the plain service.
type plainReplica struct {
	d       *deployment
	machine int
	config  plainConfig
	cmd     *exec.Cmd
	done    chan struct{}
}

// startPlain starts a new boot of a replica of the plain service.
func (d *deployment) startPlain(machine int, unframed float64) (*plainReplica, error) {
	return d.startPlainWith(machine, plainConfig{Unframed: unframed})
}

// startPlainWith does the same with more settings.
func (d *deployment) startPlainWith(machine int, c plainConfig) (*plainReplica, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c.ID, c.Address, c.Zone, c.Store = fmt.Sprintf("i-%08x", rand.Uint32()), d.address(machine, 31), zones[machine%3], d.storeAddress
	c.Work = 30 * time.Millisecond
	p := &plainReplica{d: d, machine: machine, done: make(chan struct{}), config: c}
	raw, err := json.Marshal(p.config)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(self, "replica", string(raw))
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stdout, p.cmd.Stderr = lineWriter{d.log}, lineWriter{d.log}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	d.log.add("replica %s starts on machine %d", p.config.ID, machine)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// end ends the process of the replica with the case.
func (p *plainReplica) end() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// kill ends the process of the replica without a word. Its registration goes after three heartbeats.
func (p *plainReplica) kill() {
	p.d.log.add("replica %s on machine %d is killed", p.config.ID, p.machine)
	p.end()
	id, store := p.config.ID, p.d.store
	time.AfterFunc(3*heartbeat, func() { store.remove("servers", id) })
}

// lineWriter writes what a process prints to the record.
type lineWriter struct{ log *recorder }

// Write implements io.Writer.
func (w lineWriter) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		w.log.add("%s", strings.TrimSpace(line))
	}
	return len(b), nil
}

// Parameters of the case of a confirmation that breaks off.
const (
	plainReplicas  = 6
	confirmsPerSec = 60
	killEvery      = 6 * time.Second
	kills          = 14
	killDown       = 2 * time.Second
	unframedShare  = 0.5
)

// caseUnframed kills one of the six replicas of the plain service at a time while they answer
// requests that are not idempotent, partly with answers that have no length.
func caseUnframed(d *deployment, trouble bool) (bool, string, error) {
	var list []*plainReplica
	defer func() {
		for _, p := range list {
			p.end()
		}
	}()
	for i := range plainReplicas {
		p, err := d.startPlain(sideMachine(i), unframedShare)
		if err != nil {
			return false, "", err
		}
		list = append(list, p)
	}
	if _, err := d.startEntry(1); err != nil {
		return false, "", err
	}
	t := &tally{d: d}
	stop := t.load(pathConfirm, http.MethodPost, confirmsPerSec)
	time.Sleep(3 * time.Second)
	for range kills {
		i := rand.IntN(plainReplicas)
		if trouble {
			list[i].kill()
		}
		time.Sleep(killDown)
		if trouble {
			p, err := d.startPlain(list[i].machine, unframedShare)
			if err != nil {
				stop()
				return false, "", err
			}
			list[i] = p
		}
		time.Sleep(killEvery - killDown)
	}
	stop()
	return t.verdict("confirmations")
}
