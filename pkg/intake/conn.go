package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

const (
	// headFactor is the memory that a byte of a head takes, without its fields.
	headFactor = 4
	// fieldBytes is the memory of a field of a head, and of its copy for the upstream.
	fieldBytes = 256
	// securedFactor is the memory that a byte of a head takes below TLS, where fields can't be
	// counted: a line of a few bytes becomes an entry of a map.
	securedFactor = 32
	// headSlack is the length by which a head may exceed the limit, since the server reads
	// ahead.
	headSlack = 4 << 10
	// writeTimeout is the time within which a client has to read a part of a response.
	writeTimeout = 10 * time.Second
	// writeBytes is the length of such a part.
	writeBytes = 16 << 10
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	listener *Listener
	client   *Client
	closing  sync.Once
	closeErr error

	// deadlines is locked while the read deadline is set. It has passed for good once the
	// client was ended.
	deadlines sync.Mutex
	ended     bool
}

type connKey struct{}

// ConnContext makes the connection of a request available to Reserve. It is part of the
// ConnContext of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own := connOf(c); own != nil {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// connOf returns the connection below TLS, or nil.
func connOf(c net.Conn) *Conn {
	if own, ok := c.(*Conn); ok {
		return own
	}
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		return connOf(secured.NetConn())
	}
	return nil
}

// Reserve charges the connection of a request for n bytes of its response, until the request has
// ended. It returns false if the memory of the process does not allow them. It returns true in a
// context without a connection.
func Reserve(ctx context.Context, n int) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.charge(c.client, int64(n), time.Now())
}

// MayReceive reports whether the memory of the process allows a body of n bytes now. It returns
// true in a context without a connection.
func MayReceive(ctx context.Context, n int64) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.MayCharge(c.client, n*int64(c.listener.BodyFactor), time.Now())
}

// NetConn returns the connection itself.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	switch cause := c.receive(b[:n], time.Now()); cause {
	case "":
		return n, err
	case CauseHeadTooLarge:
		c.refuseHead(http.StatusRequestHeaderFieldsTooLarge)
	case CauseMemory:
		c.refuseHead(http.StatusServiceUnavailable)
	}
	return 0, os.ErrDeadlineExceeded
}

// receive records bytes that have arrived. It returns a cause if nothing more may be read.
func (c *Conn) receive(b []byte, now time.Time) Cause {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Receive(c.client, len(b), now)
	cause := c.client.cause
	tooLarge := c.client.headBytes > c.listener.headLimit()+headSlack
	switch {
	case cause != "" || c.client.headBytes == 0:
		return cause
	case tooLarge && c.listener.TLS:
		// The server counts the bytes of the head, which are fewer.
		return ""
	case tooLarge:
		cause = CauseHeadTooLarge
	case !g.charge(c.client, c.headCost(b), now):
		cause = CauseMemory
	default:
		return ""
	}
	g.table.end(c.client, cause)
	g.record(c.client.group.name, cause, now)
	return cause
}

// headCost returns the memory that a part of a head takes.
func (c *Conn) headCost(b []byte) int64 {
	if c.listener.TLS {
		return int64(securedFactor * len(b))
	}
	return int64(headFactor*len(b) + fieldBytes*bytes.Count(b, []byte("\n")))
}

// lingerTime is how long a refused client has to read the refusal. Closing the connection at once
// would reset it, as there are bytes that were not read.
const lingerTime = 500 * time.Millisecond

// refuseHead responds to an incomplete head. Below TLS nothing can be written.
func (c *Conn) refuseHead(status int) {
	if c.listener.TLS {
		return
	}
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + strconv.Itoa(problem.New(problem.ReasonIntakeFull, "").RetryAfterSeconds) + "\r\n"
	}
	if _, err := c.Write([]byte(text + "\r\n")); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		time.Sleep(lingerTime)
	}
}

// Write implements net.Conn. It fails if the client does not read.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writeBytes)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.gate.recordSlowReader(c.client.group.name)
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt ends reading from the connection for good.
func (c *Conn) interrupt() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.ended = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.listener.gate.remove(c)
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

var _ net.Conn = (*Conn)(nil)
