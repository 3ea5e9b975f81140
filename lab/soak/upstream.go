package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// upstreamFaults is what goes wrong at an upstream now.
type upstreamFaults struct {
	// loseAnswers runs requests and cuts their connection.
	loseAnswers bool
	// garble writes bytes that are no answer, or answers of other requests.
	garble bool
	// tear cuts streams within an event.
	tear bool
	// lateOrders leaves orders unanswered and carries them out after a time.
	lateOrders time.Duration
	// slow delays answers.
	slow time.Duration
}

// upstream is a stand-in of one upstream, a plain one or a rank of the group.
type upstream struct {
	host    string
	service string
	zone    string
	store   *platformstore.Store
	ledger  *ledger
	group   *group
	rank    int
	// own is where the agent of the same host calls, link where all others do.
	own  string
	link *link.Link
	srv  *http.Server

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	alive    bool
	draining bool
	// drainAt is when it announced that it leaves, zero while it doesn't.
	drainAt time.Time
	running int
	lives   int
	faults  upstreamFaults
	rand    *rand.Rand
}

// slots is how many requests an upstream runs at once.
const slots = 6

// plainTook is how long plain work takes.
const plainTook = 20 * time.Millisecond

// start begins a new life of the upstream.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.own)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.lives++
	u.id = fmt.Sprintf("i-%s-%d", u.host, u.lives)
	u.born, u.alive, u.draining, u.drainAt, u.running = time.Now().UnixMilli(), true, false, time.Time{}, 0
	u.own = l.Addr().String()
	u.srv = &http.Server{Handler: u}
	u.mu.Unlock()
	go func() { _ = u.srv.Serve(l) }()
	if u.group != nil {
		u.group.join(u)
	}
	return u.register()
}

// isAlive reports whether the upstream is alive.
func (u *upstream) isAlive() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.alive
}

// crash ends the upstream without warning. Its registration stays for a while.
func (u *upstream) crash() {
	u.mu.Lock()
	u.alive = false
	id, srv := u.id, u.srv
	u.mu.Unlock()
	srv.Close()
	u.link.Reset()
	if u.group != nil {
		u.group.leave()
	}
	time.AfterFunc(lapseAfter, func() { u.store.Remove("servers", id) })
}

// drain announces that the upstream leaves, and ends it later.
func (u *upstream) drain() error {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	err := u.register()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainAt = time.Now()
	return err
}

// beat renews the registration until the upstream ends.
func (u *upstream) beat(stop <-chan struct{}) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		u.mu.Lock()
		alive := u.alive
		u.mu.Unlock()
		if alive {
			if err := u.register(); err != nil {
				u.ledger.Violate("the stand-in can't register: %v", err)
			}
		}
	}
}

func (u *upstream) register() error {
	u.mu.Lock()
	u.seq++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	spec := map[string]any{
		"service": u.service, "address": u.link.Address(), "zone": u.zone, "version": "1", "slots": slots,
		"state": state, "seq": u.seq, "born": u.born, "cold-left-ms": 0,
	}
	id := u.id
	u.mu.Unlock()
	if u.group != nil {
		u.group.describe(u.rank, spec)
	}
	return u.store.Put("servers", id, spec)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	faults, id, alive := u.faults, u.id, u.alive
	u.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.slow)
	if u.group != nil && u.group.serve(w, r, u, faults) {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	if !u.take() {
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer u.give()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.group != nil {
		u.stream(w, r, attempt, faults)
		return
	}
	u.plain(w, r, attempt, faults)
}

// notRun answers that the request was not run.
func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (u *upstream) take() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= slots {
		return false
	}
	u.running++
	return true
}

func (u *upstream) give() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// record tells the ledger that a request runs here.
func (u *upstream) record(r *http.Request, attempt string) {
	now := time.Now()
	u.mu.Lock()
	drainAt := u.drainAt
	u.mu.Unlock()
	if !drainAt.IsZero() && now.Sub(drainAt) > drainAfter && u.ledger.inTouch(drainAt.Add(-touchSlack), now) {
		u.ledger.Violate("%s ran %s %v after it announced that it leaves", u.id, attempt, now.Sub(drainAt))
	}
	u.ledger.Run(&arrival{
		id: attempt, path: r.URL.Path, service: u.service, upstream: u.id,
		organisation: r.Header.Get("X-Tenant"), key: r.Header.Get("X-Api-Key"),
	}, now)
}

// plain runs plain work.
func (u *upstream) plain(w http.ResponseWriter, r *http.Request, attempt string, faults upstreamFaults) {
	u.record(r, attempt)
	time.Sleep(plainTook)
	if faults.loseAnswers {
		panic(http.ErrAbortHandler)
	}
	if faults.garble && u.spoil(w) {
		return
	}
	w.Header().Set("X-Replica-Seal", seal(attempt))
	_, _ = io.WriteString(w, plainBody(attempt))
}

// spoil writes something that is no answer to the request, and reports whether it
// did.
func (u *upstream) spoil(w http.ResponseWriter) bool {
	u.mu.Lock()
	kind := u.rand.IntN(4)
	u.mu.Unlock()
	if kind == 0 {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	other := "other-request"
	switch kind {
	case 1:
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
	case 2:
		body := plainBody(other)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", other, seal(other), len(body), body)
	case 3:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s\r\nContent-Length: 500\r\n\r\ncut", other, seal(other))
	}
	return true
}

func seal(attempt string) string { return "seal-" + attempt }

func plainBody(attempt string) string { return "done " + attempt + "\n" }

// events is how many events a stream has.
const events = 12

func eventData(attempt string, n int) string { return fmt.Sprintf("%s-%d", attempt, n) }

// stream writes a stream, an event a pass.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, attempt string, faults upstreamFaults) {
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	begun := false
	for n := first + 1; n <= events; n++ {
		if !u.group.pass(r.Context()) {
			if !begun {
				w.Header().Set("At-Server", "unknown")
				notRun(w, http.StatusServiceUnavailable)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if !begun {
			begun = true
			u.record(r, attempt)
			w.Header().Set("X-Replica-Seal", seal(attempt))
			w.Header().Set("Content-Type", "text/event-stream")
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(attempt, n))
		if faults.tear && n == events/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// decode reads a JSON body.
func decode(r *http.Request, out any) bool { return json.NewDecoder(r.Body).Decode(out) == nil }
