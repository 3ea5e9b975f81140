package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Load of the callers.
const (
	callersCount = 12
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 250 * time.Millisecond
	// callerTimeout is the time limit of a request, streamTimeout of a stream.
	callerTimeout = 1500 * time.Millisecond
	streamTimeout = 5 * time.Second
	// leaves is the part of callers that close their connection within a stream.
	leaves = 0.05
)

// balancer is the platform's: it sends each new connection to an entry that says it
// is ready, or to any when none does.
type balancer struct {
	world *world

	mu     sync.Mutex
	missed []int
	rand   *rand.Rand
}

func newBalancer(w *world, seed uint64) *balancer {
	return &balancer{world: w, missed: make([]int, len(w.entries)), rand: rand.New(rand.NewPCG(seed, 2))}
}

// watch asks the entries whether they are ready, until stop is closed.
func (b *balancer) watch(stop <-chan struct{}) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		for i := range b.world.entries {
			resp, err := client.Get("http://" + hostIP(1, i) + ":" + itoa(b.world.port+2) + "/ready")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
			}
			b.mu.Lock()
			b.missed[i]++
			if ready {
				b.missed[i] = 0
			}
			b.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// dial opens a connection to an entry.
func (b *balancer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	b.mu.Lock()
	var in []int
	for i, missed := range b.missed {
		if missed < 2 {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		for i := range b.missed {
			in = append(in, i)
		}
	}
	i := in[b.rand.IntN(len(in))]
	b.mu.Unlock()
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, "tcp", hostIP(1, i)+":"+itoa(b.world.port+1))
}

// caller sends requests, one after the other.
type caller struct {
	name   string
	world  *world
	client *http.Client
	rand   *rand.Rand
	sent   int
}

func newCaller(w *world, b *balancer, n int, seed uint64) *caller {
	return &caller{
		name: fmt.Sprint("c", n), world: w, rand: rand.New(rand.NewPCG(seed, uint64(1000+n))),
		client: &http.Client{Transport: &http.Transport{DialContext: b.dial, MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rand.ExpFloat64() * float64(thinkTime))):
		}
		c.visit()
	}
}

// kinds of work of a visit.
var kinds = []struct {
	path           string
	unsafe, stream bool
}{{pathDraft, false, true}, {pathFinal, true, true}, {pathConfirm, true, false}, {pathStatus, false, false}}

// visit sends one request, and once more when that is allowed.
func (c *caller) visit() {
	kind := kinds[c.rand.IntN(len(kinds))]
	limit := callerTimeout
	if kind.stream {
		limit = streamTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for try := range 2 {
		again, after := c.try(ctx, kind.path, kind.unsafe, kind.stream, limit)
		if !again || try > 0 {
			return
		}
		deadline, _ := ctx.Deadline()
		time.Sleep(min(after, time.Until(deadline)/3))
	}
}

// try sends a request once. It reports whether to send it again, and after which
// time.
func (c *caller) try(ctx context.Context, path string, unsafe, stream bool, limit time.Duration) (again bool, after time.Duration) {
	c.sent++
	w := c.world
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), path: path, unsafe: unsafe, sent: time.Now()}
	w.mu.Lock()
	r.organisation = []string{"north", "south"}[c.rand.IntN(2)]
	r.key = w.keys[r.organisation]
	w.mu.Unlock()
	if c.rand.Float64() < leaves && stream {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.rand.Float64()*float64(events*passTook)))
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callersHost+path, strings.NewReader("body of "+r.id))
	if err != nil {
		return false, 0
	}
	req.GetBody = nil
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Api-Key", r.key)
	req.Header.Set("X-Tenant", "forged")
	req.Header.Set("X-Deadline-Ms", itoa(int(limit.Milliseconds())))
	if stream {
		req.Header.Set("X-Token-Count", "100,60")
	}
	w.ledger.Asked(r)
	resp, err := c.client.Do(req)
	if err != nil {
		w.ledger.Count("no answer")
		return !unsafe, 0
	}
	defer resp.Body.Close()
	switch status := resp.StatusCode; status {
	case http.StatusOK:
		c.check(r, resp, stream)
		return false, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.ledger.Refused(r, status)
		_, _ = io.Copy(io.Discard, resp.Body)
		seconds, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if err != nil {
			seconds = 0
		}
		return true, seconds
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.denied(r, status)
		return false, 0
	default:
		w.ledger.Count(fmt.Sprint("failed ", status))
		_, _ = io.Copy(io.Discard, resp.Body)
		return !unsafe, 0
	}
}

// denied checks that a caller whose key is valid is not told otherwise.
func (c *caller) denied(r *request, status int) {
	l := c.world.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	key := l.keys[r.key]
	l.counts[fmt.Sprint("denied ", status)]++
	fresh := time.Since(l.madeAt(r.key)) < configAfter+touchSlack
	if status != http.StatusUnauthorized || key.takenAt.IsZero() && !fresh && l.inTouch(r.sent.Add(-touchSlack), time.Now()) {
		l.violate("request %s was answered %d though its route and key are in force", r.id, status)
	}
}

// check checks an answer that says that it is good.
func (c *caller) check(r *request, resp *http.Response, stream bool) {
	l := c.world.ledger
	if resp.Header.Get("X-Replica-Seal") != seal(r.id) || resp.Header.Get("X-Attempt-Id") != r.id {
		l.Violate("request %s got an answer with the signature %q of %q", r.id, resp.Header.Get("X-Replica-Seal"), resp.Header.Get("X-Attempt-Id"))
		return
	}
	if !stream {
		body, err := io.ReadAll(resp.Body)
		switch {
		case err != nil:
			l.Count("broken off")
		case string(body) != plainBody(r.id):
			l.Violate("request %s got the body %q", r.id, body)
		default:
			l.Served(r.sent)
		}
		return
	}
	n, err := readEvents(resp.Body, r.id)
	var wrong *wrongEvent
	switch {
	case errors.As(err, &wrong):
		l.Violate("stream %s: %v", r.id, err)
	case err != nil:
		l.Count("broken off")
	case n < events:
		l.Violate("stream %s looks complete after %d of %d events", r.id, n, events)
	default:
		l.Served(r.sent)
	}
}

// wrongEvent is an event that must not come where it came.
type wrongEvent struct{ text string }

// Error implements error.
func (e *wrongEvent) Error() string { return e.text }

// readEvents reads a stream and returns how many events came.
func readEvents(body io.Reader, id string) (int, error) {
	n, in := 0, bufio.NewReader(body)
	for {
		lines := [3]string{}
		for i := range lines {
			line, err := in.ReadString('\n')
			if errors.Is(err, io.EOF) && i == 0 && line == "" {
				return n, nil
			}
			if err != nil {
				return n, errors.WithStack(err)
			}
			lines[i] = line
		}
		n++
		if lines[0] != fmt.Sprintf("id: %d\n", n) || lines[1] != "data: "+eventData(id, n)+"\n" || lines[2] != "\n" {
			return n, &wrongEvent{fmt.Sprintf("event %d is %q", n, lines)}
		}
	}
}
