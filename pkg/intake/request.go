package intake

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Handler charges requests and their bodies to their connections. The error of a body that is
// refused is a *problem.Problem.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		cost, ok := c.begin(r, !hasBody)
		if !ok {
			_ = c.SetReadDeadline(time.Now().Add(lingerTime))
			refuse(w, problem.New(problem.ReasonIntakeFull, ""))
			c.end(!hasBody, 0)
			return
		}
		if !hasBody {
			defer c.end(true, cost)
			next.ServeHTTP(w, r)
			return
		}
		b := newBody(c, w, r, cost)
		defer b.end()
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// begin records a request whose head is complete, and returns what it was charged. It returns
// false if the client was ended, or if the memory of the process does not allow the request.
func (c *Conn) begin(r *http.Request, received bool) (int64, bool) {
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	g, now := c.listener.gate, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	cost := int64(headFactor*c.client.headBytes + fields*fieldBytes)
	g.table.BeginRequest(c.client, received)
	if c.client.cause != "" {
		return 0, false
	}
	if !g.charge(c.client, cost, now) {
		g.record(c.listener.Name, CauseMemory, now)
		return 0, false
	}
	return cost, true
}

// end records that the handler of a request has returned, for which the client was charged.
func (c *Conn) end(complete bool, charged int64) {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.EndRequest(c.client, complete, charged, time.Now())
}

// rest records that the response to the last request was written.
func (c *Conn) rest() {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Rest(c.client, time.Now())
}

// refuse writes a refusal and closes the connection.
func refuse(w http.ResponseWriter, p *problem.Problem) {
	raw, err := json.Marshal(p)
	if err != nil {
		raw = nil
	}
	h := w.Header()
	h.Set("Content-Type", problem.ContentType)
	h.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	h.Set("Connection", "close")
	w.WriteHeader(p.Status)
	// The client may be gone.
	_, _ = w.Write(raw)
}

// body is the body of a request. Reading it is not safe for concurrent use.
type body struct {
	io.ReadCloser
	conn     *Conn
	control  *http.ResponseController
	progress Progress
	// remaining is what is left of a body with a length, and negative without one.
	remaining int64
	// charged is what the client was charged for the request.
	charged int64
	// complete is true once the whole body has arrived.
	complete bool
	// refusal is why no more is read.
	refusal *problem.Problem
}

func newBody(c *Conn, w http.ResponseWriter, r *http.Request, charged int64) *body {
	b := &body{
		ReadCloser: r.Body, conn: c, control: http.NewResponseController(w), progress: NewProgress(time.Now()),
		remaining: r.ContentLength, charged: charged,
	}
	b.setDeadline(b.progress.Deadline(time.Now()))
	return b
}

// setDeadline sets when the next bytes have to arrive, or that none have to if t is zero. An
// error means that the connection is closed, which reading shows as well.
func (b *body) setDeadline(t time.Time) { _ = b.control.SetReadDeadline(t) }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.refusal != nil {
		return 0, b.refusal
	}
	n, err := b.ReadCloser.Read(p)
	now := time.Now()
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	complete := !b.complete && (b.remaining == 0 || errors.Is(err, io.EOF))
	slow := errors.Is(err, os.ErrDeadlineExceeded) || !complete && !b.complete && !b.progress.Record(n, now)
	cost := int64(n * b.conn.listener.BodyFactor)
	if b.refusal = b.conn.receiveBody(cost, complete, slow, now); b.refusal != nil {
		return 0, b.refusal
	}
	b.charged += cost
	if complete {
		b.complete = true
		b.setDeadline(time.Time{})
	} else if n > 0 && !b.complete {
		b.setDeadline(b.progress.Deadline(now))
	}
	return n, err
}

// end records that the handler of the request has returned.
func (b *body) end() {
	if !b.complete {
		// The server reads on for the next request, which a stalled body must not delay.
		b.setDeadline(time.Now().Add(lingerTime))
	}
	b.conn.end(b.complete, b.charged)
}

// receiveBody charges the client for bytes of a body. It returns a refusal if no more may be read.
func (c *Conn) receiveBody(cost int64, complete, slow bool, now time.Time) *problem.Problem {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case c.client.cause != "":
		return problem.New(problem.ReasonIntakeFull, "the body was to make room for others")
	case slow:
		g.record(c.listener.Name, CauseSlowBody, now)
		return problem.New(problem.ReasonSlowBody, "")
	case !g.charge(c.client, cost, now):
		g.record(c.listener.Name, CauseMemory, now)
		return problem.New(problem.ReasonIntakeFull, "")
	}
	if complete {
		g.table.CompleteRequest(c.client)
	}
	return nil
}
