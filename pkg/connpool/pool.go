package connpool

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNotSent means that no byte of the request was written.
var ErrNotSent = errors.New("no connection to the upstream; the request was not sent and may be sent elsewhere")

// Config is the settings of a pool.
type Config struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Dialer opens connections.
	Dialer *net.Dialer
	// MaxIdle is how long a kept connection may rest at most.
	MaxIdle time.Duration
	// MaxIdlePerHost is how many kept connections rest for one address.
	MaxIdlePerHost int
}

// Bounds of the reading and writing of one exchange.
const (
	// bufferBytes is the size of a connection's read buffer; a head fits in.
	bufferBytes = 4 << 10
	// writeAhead is the size of a request up to which it is written before its
	// answer is awaited. It is below the socket buffers of every platform.
	writeAhead = 16 << 10
	// restMargin keeps a connection from being used just as the upstream closes it.
	restMargin = time.Second
	// deadRestShare is the part of a rest that a connection did not survive, up
	// to which others are trusted from then on.
	deadRestShare = 0.5
	// deadRestLife is how long that is remembered.
	deadRestLife = 30 * time.Second
)

// Pool keeps connections.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
	// trusted is how long a rest is trusted until trustedUntil.
	trusted      time.Duration
	trustedUntil time.Time
}

// conn is a kept connection.
type conn struct {
	net.Conn
	address string
	head    *headReader
	reader  *bufio.Reader
	// rests is when the connection began to rest, maxRest how long it may.
	rests   time.Time
	maxRest time.Duration
	// reused is true when it served a request before.
	reused bool
	rested time.Duration
}

// abort resets the connection. What was written and has not arrived is dropped: a mere
// close would still deliver it, after seconds when the path was interrupted, for a caller
// who has left.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that can't be set to reset is closed all the same.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, idle: make(map[string][]*conn)}
}

// Options say how a request is sent.
type Options struct {
	// MaxIdle is how long a kept connection may have rested, 0 for the pool's own
	// bound. A negative value asks for a new connection.
	MaxIdle time.Duration
}

// Send writes a request and reads the head of its answer. When ctx ends, the
// connection is closed.
func (p *Pool) Send(ctx context.Context, address string, req *http.Request, body []byte, opts Options) (*Exchange, error) {
	raw, err := encode(req, body)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c, err := p.get(ctx, address, opts)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	x := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, c.abort)
	if err := x.start(req, raw); err != nil {
		x.Discard()
		p.distrust(c)
		return nil, err
	}
	return x, nil
}

// encode returns the bytes of a request.
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

// Probe opens a connection and keeps it. An error means that the address can't be
// reached.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.get(ctx, address, Options{MaxIdle: -1})
	if err != nil {
		return err
	}
	p.put(c, p.cfg.MaxIdle)
	return nil
}

// get returns a kept or new connection.
func (p *Pool) get(ctx context.Context, address string, opts Options) (*conn, error) {
	if c := p.kept(address, opts, time.Now()); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	head := &headReader{Conn: raw}
	return &conn{Conn: raw, address: address, head: head, reader: bufio.NewReaderSize(head, bufferBytes)}, nil
}

// kept returns the connection that has rested least, if it can still be used.
func (p *Pool) kept(address string, opts Options, now time.Time) *conn {
	if opts.MaxIdle < 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.cfg.MaxIdle
	if opts.MaxIdle > 0 {
		most = min(most, opts.MaxIdle)
	}
	if now.Before(p.trustedUntil) {
		most = min(most, p.trusted)
	}
	for list := p.idle[address]; len(list) > 0; list = p.idle[address] {
		c := list[len(list)-1]
		rested := now.Sub(c.rests)
		if rested > min(most, c.maxRest) {
			return nil
		}
		p.idle[address] = list[:len(list)-1]
		if quiet(c.Conn) {
			c.reused, c.rested = true, rested
			return c
		}
		c.Close()
	}
	return nil
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(c *conn, maxRest time.Duration) {
	now := time.Now()
	c.rests, c.maxRest = now, min(maxRest, p.cfg.MaxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.prune(p.idle[c.address], now)
	if len(list) >= p.cfg.MaxIdlePerHost {
		c.Close()
		p.idle[c.address] = list
		return
	}
	p.idle[c.address] = append(list, c)
}

// prune closes connections that have rested for too long.
func (p *Pool) prune(list []*conn, now time.Time) []*conn {
	i := 0
	for i < len(list) && now.Sub(list[i].rests) > list[i].maxRest {
		list[i].Close()
		i++
	}
	return list[i:]
}

// distrust shortens the rest of connections after one that rested was dead.
func (p *Pool) distrust(c *conn) {
	if !c.reused {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trusted = time.Duration(deadRestShare * float64(c.rested))
	p.trustedUntil = time.Now().Add(deadRestLife)
}

// CloseIdleExcept closes the kept connections of all addresses but some.
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

// keepAlive returns how long the upstream keeps a resting connection.
func keepAlive(h http.Header, otherwise time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-restMargin)
		}
	}
	return otherwise
}
