package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// upstreamFaults are the current faults of an upstream.
type upstreamFaults struct {
	// dropResponses runs requests and closes their connections without a response.
	dropResponses bool
	// corruptResponses sends bytes that are no HTTP response, or responses to other
	// requests.
	corruptResponses bool
	// repeatRefusals refuses some requests, and writes the refusal once more instead of the
	// response to a later request on the connection, which has run.
	repeatRefusals bool
	// truncateStreams closes the connections of streams within an event.
	truncateStreams bool
	// orderDelay carries orders out after this time, without a response.
	orderDelay time.Duration
	// responseDelay delays responses.
	responseDelay time.Duration
	// workTime is how long requests run, 0 for the usual time.
	workTime time.Duration
	// pauseTime is how long each stream is silent in the middle.
	pauseTime time.Duration
	// breaker, if not nil, breaks responses off and answers the next attempts wrongly.
	breaker *breaker
}

// upstream simulates an upstream: a plain one, or a rank of the group.
type upstream struct {
	host          string
	service       string
	failureDomain string
	store         *platformstore.Store
	checker       *checker
	group         *group
	rank          int
	// address is used by the agent on the same host, link by all other processes.
	address string
	link    *link.Link
	srv     *http.Server

	mu sync.Mutex
	// id identifies the incarnation, born is its start in Unix milliseconds.
	id   string
	born int64
	// seq is the number of the latest registration.
	seq      int
	alive    bool
	draining bool
	// drainingSince is when the upstream announced that it drains. It is zero while it
	// has not.
	drainingSince time.Time
	// running is the number of requests in service.
	running int
	// incarnation counts the starts.
	incarnation int
	faults      upstreamFaults
	// limit is the limit that the upstream names, nil for none.
	limit      *sendLimit
	statements statements
	rand       *rand.Rand
}

// slots is the number of requests that an upstream runs at once.
const slots = 6

// plainWorkTime is how long plain work runs.
const plainWorkTime = 20 * time.Millisecond

// start starts a new incarnation of the upstream.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.incarnation++
	u.id = fmt.Sprintf("i-%s-%d", u.host, u.incarnation)
	u.born, u.alive, u.draining, u.drainingSince, u.running = time.Now().UnixMilli(), true, false, time.Time{}, 0
	u.limit, u.statements = nil, statements{disturbedUntil: u.statements.disturbedUntil}
	u.address = l.Addr().String()
	u.srv = &http.Server{Handler: u, ConnContext: withRefusals}
	u.mu.Unlock()
	go func() { _ = u.srv.Serve(l) }()
	if err := u.link.Accept(); err != nil {
		return err
	}
	if u.group != nil {
		u.group.join(u)
	}
	return u.register()
}

func (u *upstream) isAlive() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.alive
}

// crash stops the upstream without warning. Its registration stays until it expires. It returns
// false if the upstream was not alive.
func (u *upstream) crash() bool {
	u.mu.Lock()
	alive, id, srv := u.alive, u.id, u.srv
	u.alive = false
	u.mu.Unlock()
	if !alive {
		return false
	}
	srv.Close()
	u.link.Refuse()
	u.link.Reset()
	if u.group != nil {
		u.group.handleCrash()
	}
	time.AfterFunc(registrationExpiry, func() { u.store.Remove("servers", id) })
	return true
}

// drain announces that the upstream drains. It keeps serving until it is stopped.
func (u *upstream) drain() error {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	err := u.register()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainingSince = time.Now()
	return err
}

// sendHeartbeats renews the registration while the upstream is alive, until stop is
// closed.
func (u *upstream) sendHeartbeats(stop <-chan struct{}) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		u.mu.Lock()
		alive := u.alive && !u.statements.unlisted
		u.mu.Unlock()
		if alive {
			if err := u.register(); err != nil {
				u.checker.RecordViolation("the simulated upstream can't register: %v", err)
			}
		}
	}
}

// register writes the upstream's registration to the store.
func (u *upstream) register() error {
	u.mu.Lock()
	u.seq++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	spec := map[string]any{
		"service": u.service, "address": u.link.Address(), "zone": u.failureDomain, "version": "1", "slots": slots,
		"state": state, "seq": u.seq, "born": u.born, "cold-left-ms": 0,
	}
	id := u.id
	u.mu.Unlock()
	if u.group != nil {
		u.group.addMembership(u.rank, spec)
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
	time.Sleep(faults.responseDelay)
	if u.group != nil && u.group.serveEngineCall(w, r, u, faults) {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	u.recordArrival(w.Header(), time.Now())
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != id {
		respondNotRun(w, http.StatusMisdirectedRequest)
		return
	}
	if u.state(w.Header(), attempt, time.Now()) || !u.reserveSlot() {
		respondNotRun(w, http.StatusServiceUnavailable)
		return
	}
	defer u.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.group == nil && u.checker.deadlyRequests.isDeadly(string(body)) {
		u.recordRun(r, attempt)
		u.checker.deadlyRequests.record(string(body), attempt, u.crashOnRequest())
		panic(http.ErrAbortHandler)
	}
	if faults.repeatRefusals && u.group == nil && u.serveRefusals(w, r, attempt) {
		return
	}
	switch {
	case u.group != nil && faults.breaker != nil:
		u.serveBrokenStream(w, r, attempt, faults.breaker)
		return
	case u.group != nil:
		u.serveStream(w, r, attempt, faults)
		return
	case faults.breaker != nil && u.serveBrokenPlain(w, r, attempt, faults.breaker):
		return
	}
	u.servePlain(w, r, attempt, faults)
}

// respondNotRun responds that the request has not run.
func respondNotRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (u *upstream) reserveSlot() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= slots {
		return false
	}
	u.running++
	return true
}

func (u *upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// recordRun records at the checker that a request runs at this upstream.
func (u *upstream) recordRun(r *http.Request, attempt string) {
	now := time.Now()
	u.mu.Lock()
	drainingSince := u.drainingSince
	u.mu.Unlock()
	if !drainingSince.IsZero() && now.Sub(drainingSince) > drainLimit && u.checker.entriesHealthy(drainingSince.Add(-staleTime), now) {
		u.checker.RecordViolation("%s ran %s %v after it announced that it drains", u.id, attempt, now.Sub(drainingSince))
	}
	u.checker.checkEvacuated(u.failureDomain, u.id, attempt, now)
	u.checker.RecordRun(&receivedRequest{
		id: attempt, path: r.URL.Path, service: u.service, upstream: u.id,
		organisation: r.Header.Get("X-Tenant"), key: r.Header.Get("X-Api-Key"),
	}, now)
}

// servePlain runs plain work.
func (u *upstream) servePlain(w http.ResponseWriter, r *http.Request, attempt string, faults upstreamFaults) {
	u.recordRun(r, attempt)
	time.Sleep(cmp.Or(faults.workTime, plainWorkTime))
	if faults.dropResponses {
		panic(http.ErrAbortHandler)
	}
	if faults.corruptResponses && u.writeCorruptResponse(w) {
		return
	}
	w.Header().Set("X-Replica-Seal", signature(attempt))
	_, _ = io.WriteString(w, plainBody(attempt, requestedBytes(r)))
}

// writeCorruptResponse writes bytes that are no valid response to the request, at random,
// and reports whether it did.
func (u *upstream) writeCorruptResponse(w http.ResponseWriter) bool {
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
		body := plainBody(other, 0)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", other, signature(other), len(body), body)
	case 3:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s\r\nContent-Length: 500\r\n\r\ncut", other, signature(other))
	}
	return true
}

// signature returns the upstream's signature of the response to an attempt.
func signature(attempt string) string { return "seal-" + attempt }

// plainBody returns the body of plain work: some lines that have at least a number of
// bytes.
func plainBody(attempt string, bytes int) string {
	line := "done " + attempt + "\n"
	return strings.Repeat(line, max(1, (bytes+len(line)-1)/len(line)))
}

// requestedBytes returns the length that a request asks for, 0 for none.
func requestedBytes(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		return 0
	}
	return n
}

// events is the number of events of a stream.
const events = 12

// streamEvent returns the nth event of a stream.
func streamEvent(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, attempt, n)
}

// serveStream writes a stream with one event for each pass.
func (u *upstream) serveStream(w http.ResponseWriter, r *http.Request, attempt string, faults upstreamFaults) {
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	started := false
	for n := first + 1; n <= events; n++ {
		if !u.group.waitForPass(r.Context()) {
			if !started {
				w.Header().Set("At-Server", "unknown")
				respondNotRun(w, http.StatusServiceUnavailable)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if !started {
			started = true
			u.recordRun(r, attempt)
			if u.checker.deadly.find(r.Header.Get("X-Prompt-Prefix"), u.group.currentEpoch()) != "" {
				u.crashOnRequest()
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("X-Replica-Seal", signature(attempt))
			w.Header().Set("Content-Type", "text/event-stream")
		}
		time.Sleep(faults.workTime / events)
		if n == events/2 {
			time.Sleep(faults.pauseTime)
		}
		event := streamEvent(attempt, n)
		if faults.truncateStreams && n == events/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// decodeJSON decodes a request's JSON body and reports whether it is valid.
func decodeJSON(r *http.Request, out any) bool { return json.NewDecoder(r.Body).Decode(out) == nil }
