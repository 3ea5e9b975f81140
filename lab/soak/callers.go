package soak

import (
	"bufio"
	"context"
	"fmt"
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
	callerCount = 12
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 250 * time.Millisecond
	// callerTimeout is the time limit of a request, streamTimeout of a stream.
	callerTimeout = 1500 * time.Millisecond
	streamTimeout = 5 * time.Second
	// disconnectShare is the share of streams whose caller closes the connection before
	// the end.
	disconnectShare = 0.05
	// http10Share is the share of requests that are sent with HTTP/1.0, whose responses only
	// the end of the connection ends.
	http10Share = 0.1
	// largeShare is the share of idempotent plain requests with a response of largeBodyBytes.
	largeShare     = 0.2
	largeBodyBytes = 320 << 10
)

// balancer simulates the platform's load balancer: it sends each new connection to an
// entry that is ready, or to any entry if none is.
type balancer struct {
	deployment *deployment

	mu sync.Mutex
	// failedChecks is the number of readiness checks in a row that each entry failed.
	// An entry counts as ready until it has failed two.
	failedChecks []int
	rand         *rand.Rand
}

func newBalancer(d *deployment, seed uint64) *balancer {
	return &balancer{deployment: d, failedChecks: make([]int, len(d.entries)), rand: rand.New(rand.NewPCG(seed, 2))}
}

// pollReadiness checks whether the entries are ready, until stop is closed.
func (b *balancer) pollReadiness(stop <-chan struct{}) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		for i := range b.deployment.entries {
			resp, err := client.Get("http://" + hostIP(1, i) + ":" + itoa(b.deployment.port+2) + "/ready")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
			}
			b.mu.Lock()
			b.failedChecks[i]++
			if ready {
				b.failedChecks[i] = 0
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
func (b *balancer) dial(ctx context.Context) (net.Conn, error) {
	b.mu.Lock()
	var candidates []int
	for i, failed := range b.failedChecks {
		if failed < 2 {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		for i := range b.failedChecks {
			candidates = append(candidates, i)
		}
	}
	i := candidates[b.rand.IntN(len(candidates))]
	b.mu.Unlock()
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(ctx, "tcp", hostIP(1, i)+":"+itoa(b.deployment.port+1))
}

// caller sends requests, one at a time.
type caller struct {
	name       string
	deployment *deployment
	balancer   *balancer
	// conn is the kept connection, nil for none.
	conn *wireConn
	rand *rand.Rand
	// sent is the number of requests sent.
	sent int
}

func newCaller(d *deployment, b *balancer, n int, seed uint64) *caller {
	return &caller{
		name: fmt.Sprint("c", n), deployment: d, balancer: b, rand: rand.New(rand.NewPCG(seed, uint64(1000+n))),
	}
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rand.ExpFloat64() * float64(thinkTime))):
		}
		c.sendRandom()
	}
}

// close closes the kept connection.
func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// workKinds are the kinds of work that callers request.
var workKinds = []struct {
	path               string
	atMostOnce, stream bool
}{{pathDraft, false, true}, {pathFinal, true, true}, {pathConfirm, true, false}, {pathStatus, false, false}}

// sendRandom requests work of a random kind, with one retry where that is allowed.
func (c *caller) sendRandom() {
	kind := workKinds[c.rand.IntN(len(workKinds))]
	timeout := callerTimeout
	if kind.stream {
		timeout = streamTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for try := range 2 {
		retry, after := c.send(ctx, kind.path, kind.atMostOnce, kind.stream, timeout)
		if !retry || try > 0 {
			return
		}
		deadline, _ := ctx.Deadline()
		time.Sleep(min(after, time.Until(deadline)/3))
	}
}

// send sends one request and checks its response. It reports whether the request may be
// retried, and after which time.
func (c *caller) send(ctx context.Context, path string, atMostOnce, stream bool, timeout time.Duration) (retry bool, after time.Duration) {
	r := c.newRequest(path, atMostOnce, []string{"north", "south"}[c.rand.IntN(2)])
	if c.rand.Float64() < disconnectShare && stream {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.rand.Float64()*float64(events*passTime)))
		defer cancel()
	}
	return c.submit(ctx, r, stream, timeout)
}

// newRequest returns a request of an organisation with an ID of its own.
func (c *caller) newRequest(path string, atMostOnce bool, organisation string) *request {
	c.sent++
	d := c.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	return &request{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), path: path, atMostOnce: atMostOnce, sentAt: time.Now(),
		organisation: organisation, key: d.keys[organisation],
	}
}

// submit sends a request and checks its response like send.
func (c *caller) submit(ctx context.Context, r *request, stream bool, timeout time.Duration) (retry bool, after time.Duration) {
	d, atMostOnce := c.deployment, r.atMostOnce
	isHTTP10 := c.rand.Float64() < http10Share
	raw := c.buildRequest(r, stream, timeout, isHTTP10)
	d.checker.RecordRequest(r)
	resp, err := c.exchange(ctx, r, raw, isHTTP10)
	if ctx.Err() == nil && (err != nil || resp.ending == endedEarly) {
		d.checker.recordCut(r)
	}
	var malformed *framingError
	if errors.As(err, &malformed) {
		d.checker.RecordViolation("request %s received bytes that are no response: %v%s", r.id, err, d.checker.history(r))
		return false, 0
	}
	if err != nil {
		d.checker.CountOutcome("no response")
		return !atMostOnce, 0
	}
	return c.handleResponse(r, resp, stream)
}

// handleResponse checks a response. It reports whether the request may be retried, and after
// which time.
func (c *caller) handleResponse(r *request, resp *wireResponse, stream bool) (retry bool, after time.Duration) {
	checker := c.deployment.checker
	if !checker.checkWire(r, resp) {
		return false, 0
	}
	if resp.header.Get("Server-Leaving") != "" {
		checker.recordLeaving(r, resp.header.Get("X-Soak-Upstream"), time.Now())
	}
	switch status := resp.status; status {
	case http.StatusOK:
		checker.checkBody(r, resp, stream)
		return false, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		checker.RecordRefusal(r, status)
		retryAfter, err := time.ParseDuration(resp.header.Get("Retry-After") + "s")
		if err != nil {
			retryAfter = 0
		}
		return true, retryAfter
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.checkDenial(r, status)
		return false, 0
	default:
		checker.CountOutcome(fmt.Sprint("failed ", status))
		return !r.atMostOnce, 0
	}
}

// buildRequest returns the bytes of a request.
func (c *caller) buildRequest(r *request, stream bool, timeout time.Duration, isHTTP10 bool) string {
	version, target, body := "HTTP/1.1", r.path, r.body
	if body == "" {
		body = "body of " + r.id
	}
	if isHTTP10 {
		version = "HTTP/1.0"
	}
	if r.path == pathStatus && r.body == "" && c.rand.Float64() < largeShare {
		r.bodyBytes = largeBodyBytes
		target += "?bytes=" + itoa(r.bodyBytes)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s %s\r\nHost: %s\r\nContent-Length: %d\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		target, version, callersHost, len(body), r.id, r.key, "forged", timeout.Milliseconds())
	if stream {
		fmt.Fprintf(&b, "X-Token-Count: 100,60\r\nX-Prompt-Prefix: %s\r\n", c.prompt(r))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// exchange sends a request on the kept connection, or on a new one if there is none.
func (c *caller) exchange(ctx context.Context, r *request, raw string, isHTTP10 bool) (*wireResponse, error) {
	conn := c.conn
	c.conn = nil
	if conn != nil {
		idle, err := conn.checkIdle()
		if err != nil {
			c.deployment.checker.RecordViolation("caller %s received %v", c.name, err)
		}
		if !idle {
			conn.Close()
			conn = nil
		}
	}
	if conn == nil {
		opened, err := c.balancer.dial(ctx)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		conn = &wireConn{Conn: opened, reader: bufio.NewReader(opened)}
	}
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		c.deployment.checker.recordEntry(r, host)
	}
	resp, err := conn.exchange(ctx, raw, isHTTP10)
	if err != nil || !resp.keepsConnection || ctx.Err() != nil {
		conn.Close()
		return resp, err
	}
	c.conn = conn
	return resp, nil
}

// Parts of prompts.
const (
	// sharedPartCount is the number of parts that the callers of all organisations share.
	sharedPartCount = 8
	// deadlyShare is the share of streams whose prompt has a deadly part while there is
	// one.
	deadlyShare = 0.1
)

// prompt returns the parts of a stream's prompt: a shared one, perhaps a deadly one, and
// its own.
func (c *caller) prompt(r *request) string {
	parts := []string{fmt.Sprintf("5a%02x:40", c.rand.IntN(sharedPartCount))}
	if part := c.deployment.checker.deadly.newest(); part != "" && c.rand.Float64() < deadlyShare {
		r.deadly = true
		parts = append(parts, part+":20")
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:60", r.id)), ",")
}

// checkDenial checks that a request with a valid key and route is not denied. The status
// 401 is allowed if the key was revoked or created recently, or if an entry had a fault.
func (c *caller) checkDenial(r *request, status int) {
	checker := c.deployment.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	key := checker.keys[r.key]
	checker.counts[fmt.Sprint("denied ", status)]++
	isNew := time.Since(checker.validFrom(r.key)) < configLimit+staleTime
	if status != http.StatusUnauthorized || key.revokedAt.IsZero() && !isNew && checker.entriesHealthy(r.sentAt.Add(-staleTime), time.Now()) {
		checker.addViolation("request %s was denied with status %d although its route and key are valid", r.id, status)
	}
}
