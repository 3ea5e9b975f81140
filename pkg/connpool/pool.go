package connpool

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/pause"
)

// ErrNotSent means that no byte of the request was written.
var ErrNotSent = errors.New("no connection to the upstream; the request was not sent and may be sent elsewhere")

// ErrClosedAtOnce means that an upstream has accepted a connection and closed it before a request.
var ErrClosedAtOnce = errors.New("the upstream closed a new connection; it is ending, or takes no more connections")

// Config holds the settings of a pool.
type Config struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// Dialer opens connections.
	Dialer *net.Dialer
	// MaxIdle is the longest time that a kept connection may be idle.
	MaxIdle time.Duration
	// MaxIdlePerHost is the largest number of idle connections for one address.
	MaxIdlePerHost int
}

// Limits of an exchange and of idle connections.
const (
	// readBufferBytes is the size of a connection's read buffer; a usual header fits into
	// it.
	readBufferBytes = 4 << 10
	// maxSyncWriteBytes is the size of a request up to which it is written before its
	// response is read. It is below the size of the socket buffers on all platforms.
	maxSyncWriteBytes = 16 << 10
	// idleMargin is subtracted from the upstream's idle timeout, so that a connection is
	// not used just as the upstream closes it.
	idleMargin = time.Second
	// deadIdleShare is applied to the idle time after which a reused connection was dead.
	// Other connections are then reused only within this share of it.
	deadIdleShare = 0.5
	// idleLimitDuration is how long that limit applies.
	idleLimitDuration = 30 * time.Second
)

// Pool keeps idle connections for reuse.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
	// maxTrustedIdle is an additional limit of the idle time until trustLimitedUntil.
	maxTrustedIdle    time.Duration
	trustLimitedUntil time.Time
}

// conn is a connection of the pool.
type conn struct {
	net.Conn
	address string
	header  *headerReader
	reader  *bufio.Reader
	// idleSince is when the connection became idle, maxIdle how long it may be idle.
	idleSince time.Time
	maxIdle   time.Duration
	// reused is true if the connection was idle in the pool before the current request, and
	// lastIdle is for how long.
	reused   bool
	lastIdle time.Duration
	// refused is true once the upstream has refused a request on the connection.
	refused bool
}

// abort resets the connection, so that data which has not arrived yet is dropped. A plain
// close would still deliver it, possibly seconds later if the path was interrupted, for a
// caller that has disconnected.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If the linger time can't be set, the connection is closed without a reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, idle: make(map[string][]*conn)}
}

// Options holds the options of one request.
type Options struct {
	// MaxIdle is how long a reused connection may have been idle; 0 applies the pool's
	// limit. A negative value requests a new connection.
	MaxIdle time.Duration
	// Unrefused requests a connection on which no request was refused, so that a refusal on it
	// can't be the repetition of an earlier one.
	Unrefused bool
}

// Send writes a request and reads the header of the response. When ctx ends, the
// connection is reset.
func (p *Pool) Send(ctx context.Context, address string, req *http.Request, body []byte, opts Options) (*Exchange, error) {
	raw, err := encode(req, body)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c, err := p.acquire(ctx, address, opts)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	x := &Exchange{pool: p, conn: c, unrefused: opts.Unrefused, writeResult: make(chan error, 1)}
	x.stopAbort = context.AfterFunc(ctx, c.abort)
	if err := x.start(req, raw); err != nil {
		x.Discard()
		p.limitIdleTime(c)
		return nil, err
	}
	return x, nil
}

// encode returns a request in the HTTP/1.1 wire format.
func encode(req *http.Request, body []byte) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(1024 + len(body))
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.URL.RequestURI())
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	if len(body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(body)))
		buf.WriteString("\r\n")
	}
	if err := req.Header.Write(&buf); err != nil {
		return nil, errors.WithStack(err)
	}
	buf.WriteString("\r\n")
	buf.Write(body)
	return buf.Bytes(), nil
}

// Probe opens a connection and keeps it for reuse. An error means that the address can't
// be reached.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.acquire(ctx, address, Options{MaxIdle: -1})
	if err != nil {
		return err
	}
	p.release(c, p.cfg.MaxIdle)
	return nil
}

// ProbeFor does the same as Probe, but watches the connection for a time before it keeps it. It
// returns ErrClosedAtOnce if the upstream closes it meanwhile: the listener of a process that ends
// is closed after its connections, and accepts others until then.
func (p *Pool) ProbeFor(ctx context.Context, address string, d time.Duration) error {
	c, err := p.acquire(ctx, address, Options{MaxIdle: -1})
	if err != nil {
		return err
	}
	pause.Sleep(ctx, d)
	if !isReusable(c.Conn) {
		c.Close()
		return errors.WithStack(ErrClosedAtOnce)
	}
	p.release(c, p.cfg.MaxIdle)
	return nil
}

// acquire returns an idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, address string, opts Options) (*conn, error) {
	if c := p.takeIdle(address, opts, time.Now()); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	netConn, err := p.cfg.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return newConn(netConn, address), nil
}

func newConn(c net.Conn, address string) *conn {
	header := &headerReader{Conn: c}
	return &conn{Conn: c, address: address, header: header, reader: bufio.NewReaderSize(header, readBufferBytes)}
}

// takeIdle removes and returns the connection with the shortest idle time among those that the
// options allow, or nil if none can be reused.
func (p *Pool) takeIdle(address string, opts Options, now time.Time) *conn {
	if opts.MaxIdle < 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maxIdle := p.cfg.MaxIdle
	if opts.MaxIdle > 0 {
		maxIdle = min(maxIdle, opts.MaxIdle)
	}
	if now.Before(p.trustLimitedUntil) {
		maxIdle = min(maxIdle, p.maxTrustedIdle)
	}
	for i := len(p.idle[address]) - 1; i >= 0; i-- {
		c := p.idle[address][i]
		idle := now.Sub(c.idleSince)
		if idle > min(maxIdle, c.maxIdle) {
			return nil
		}
		if opts.Unrefused && c.refused {
			continue
		}
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
		if isReusable(c.Conn) {
			c.reused, c.lastIdle = true, idle
			return c
		}
		c.Close()
	}
	return nil
}

// release adds a connection to the idle ones of its address, or closes it if there are
// MaxIdlePerHost already. One without a refusal replaces one that fewer requests can use.
func (p *Pool) release(c *conn, maxIdle time.Duration) {
	now := time.Now()
	c.idleSince, c.maxIdle = now, min(maxIdle, p.cfg.MaxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.closeExpired(p.idle[c.address], now)
	if i := slices.IndexFunc(list, func(other *conn) bool { return other.refused }); len(list) >= p.cfg.MaxIdlePerHost && i >= 0 && !c.refused {
		list[i].Close()
		list = slices.Delete(list, i, i+1)
	}
	if len(list) >= p.cfg.MaxIdlePerHost {
		c.Close()
		p.idle[c.address] = list
		return
	}
	p.idle[c.address] = append(list, c)
}

// closeExpired closes the connections at the start of a list that were idle for too long,
// and returns the others. A list begins with the connection that has been idle longest.
func (p *Pool) closeExpired(list []*conn, now time.Time) []*conn {
	i := 0
	for i < len(list) && now.Sub(list[i].idleSince) > list[i].maxIdle {
		list[i].Close()
		i++
	}
	return list[i:]
}

// limitIdleTime lowers the limit of the idle time after a request on a connection failed,
// if the connection was reused and may thus have been dead.
func (p *Pool) limitIdleTime(c *conn) {
	if !c.reused {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxTrustedIdle = time.Duration(deadIdleShare * float64(c.lastIdle))
	p.trustLimitedUntil = time.Now().Add(idleLimitDuration)
}

// CloseIdleExcept closes the idle connections to all addresses that are not in the set.
func (p *Pool) CloseIdleExcept(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if addresses[address] {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
	}
}

// upstreamMaxIdle returns how long a connection may be idle according to the upstream's
// Keep-Alive header, or defaultIdle if it states no timeout.
func upstreamMaxIdle(h http.Header, defaultIdle time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
