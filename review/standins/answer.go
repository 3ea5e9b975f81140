package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"
)

// Times of the answer case.
const (
	// faultyRank is the rank whose replica repeats an answer, and beside which the agent is
	// killed.
	faultyRank = 6
	// lateBy is how long after its arrival the unanswered order is carried out.
	lateBy = 2 * time.Second
)

// repeater is the replica of a rank that sends one answer once more, late, at the point where the
// answer to an order is expected. It leaves that order unanswered and carries it out later.
type repeater struct {
	g    *group
	rank int

	mu sync.Mutex
	// last holds the latest answer on each channel.
	last map[string]*httptest.ResponseRecorder
	// armed is true from the beginning of the disruption until an answer was repeated.
	armed   bool
	answers int
}

// serve serves the calls of the rank.
func (p *repeater) serve(u *upstream, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report", "/picked", "/order":
	default:
		p.g.serve(u, p.rank, w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	var o engineOrder
	_ = json.Unmarshal(body, &o)
	if previous := p.takePrevious(r, &o); previous != nil {
		p.repeat(w, previous, &o)
		return
	}
	answer := httptest.NewRecorder()
	r.Body = io.NopCloser(bytes.NewReader(body))
	p.g.serve(u, p.rank, answer, r)
	p.mu.Lock()
	p.last[r.RemoteAddr] = answer
	p.answers++
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// takePrevious returns the answer to repeat, or nil if none is due.
func (p *repeater) takePrevious(r *http.Request, o *engineOrder) *httptest.ResponseRecorder {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.last[r.RemoteAddr]
	if !p.armed || o.Op != "arm" || previous == nil || previous.Code >= http.StatusMultipleChoices {
		return nil
	}
	p.armed = false
	return previous
}

// repeat writes an earlier answer once more and carries the order out later.
func (p *repeater) repeat(w http.ResponseWriter, previous *httptest.ResponseRecorder, o *engineOrder) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	p.g.record.line("the replica of rank %d repeats its answer %d (%s) and leaves the order to arm version %d for pass %d unanswered",
		p.rank, previous.Code, bytes.TrimSpace(previous.Body.Bytes()), o.Version, o.Step)
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		previous.Code, http.StatusText(previous.Code), previous.Body.Len(), previous.Body.Bytes())
	time.AfterFunc(lateBy, func() {
		p.g.record.line("the replica of rank %d carries that order out: status %d", p.rank, p.g.execute(p.rank, o))
		conn.Close()
	})
}

// runAnswer kills the agent beside a rank whose replica repeats one answer late and carries one
// order out late. It returns the number of passes that began with different maps.
func runAnswer(record *recorder, trouble bool) (int, error) {
	d, err := newDeployment(record, groupConfig())
	if err != nil {
		return 0, err
	}
	defer d.close()
	g := newGroup(record)
	defer close(g.stop)
	p := &repeater{g: g, rank: faultyRank, last: map[string]*httptest.ResponseRecorder{}}
	agents, err := d.startGroup(g, func(rank int) func(*upstream, http.ResponseWriter, *http.Request) {
		if rank == faultyRank {
			return p.serve
		}
		return func(u *upstream, w http.ResponseWriter, r *http.Request) { g.serve(u, rank, w, r) }
	})
	if err != nil {
		return 0, err
	}
	go g.run()
	entries, err := d.startEntries(2)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for c := range streamCallers {
		all.Go(func() { d.sendStreams(fmt.Sprintf("caller%d", c), entries[c%len(entries)], stop) })
	}
	time.Sleep(mapSteadyTime)
	if trouble {
		record.line("SIGKILL to %s, the agent beside rank %d", agents[faultyRank].name, faultyRank)
		agents[faultyRank].signal(syscall.SIGKILL)
		<-agents[faultyRank].done
		p.mu.Lock()
		p.armed, p.answers = true, 0
		p.mu.Unlock()
	}
	time.Sleep(agentDownTime)
	if trouble {
		p.mu.Lock()
		p.armed = false
		record.line("the replica of rank %d has given %d other answers to calls of agents since", faultyRank, p.answers)
		p.mu.Unlock()
		if agents[faultyRank], err = d.restart(agents[faultyRank]); err != nil {
			return 0, err
		}
		record.line("%s is back", agents[faultyRank].name)
	}
	time.Sleep(mapAfterTime)
	close(stop)
	all.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	record.line("%d passes, %d switches of the map, %d passes with different maps", g.step, g.switches, g.broken)
	return g.broken, nil
}
