// Package link simulates the network between two processes by a TCP forwarder with
// injectable faults: a link can be cut, delayed or stalled, drop responses, blackhole
// its open connections, or break a connection after a number of bytes.
package link

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Link forwards connections to one target.
type Link struct {
	target  string
	address string

	mu sync.Mutex
	// listener is nil while the link refuses connections.
	listener net.Listener
	cut      bool
	// breakAfter is the number of bytes from the target, over all connections, after
	// which the connection that carried the last of them is closed. 0 breaks none.
	breakAfter int
	delay      time.Duration
	// stalled makes the link accept new connections without forwarding them.
	// dropResponses drops the bytes that the target sends.
	stalled, dropResponses bool
	connections            map[*connection]bool
}

// connection holds the two ends of a forwarded connection.
type connection struct {
	client net.Conn
	server net.Conn
	// blackholed is closed when the connection stops forwarding permanently.
	blackholed chan struct{}
	once       sync.Once
}

// New returns a link to a target address that listens on a free port of loopback.
func New(target string) (*Link, error) { return NewAt("127.0.0.1:0", target) }

// NewAt returns a link to a target address that listens on an address.
func NewAt(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	link := &Link{target: target, address: l.Addr().String(), listener: l, connections: make(map[*connection]bool)}
	go link.accept(l)
	return link, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// Close closes the listener and all connections.
func (l *Link) Close() {
	l.Refuse()
	l.Cut()
}

// Refuse closes the listener, so that new connections are refused as by a host on which
// nothing listens. Open ones stay.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
}

// Accept ends Refuse.
func (l *Link) Accept() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return errors.WithStack(err)
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// SetDelay sets the delay of forwarded bytes in each direction.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetStalled sets whether new connections are stalled: they are accepted, and nothing is
// forwarded.
func (l *Link) SetStalled(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = stalled
}

// SetDropResponses sets whether the bytes that the target sends are dropped, while bytes
// to the target are still forwarded. A connection on which bytes were dropped is
// blackholed, as its byte stream has a gap.
func (l *Link) SetDropResponses(drop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropResponses = drop
}

// Reset resets all open connections. New ones are forwarded.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.reset()
	}
}

// Cut resets all connections, and closes new ones as soon as they are accepted.
func (l *Link) Cut() {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	l.Reset()
}

// Heal ends a cut: new connections are forwarded again.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

// BlackholeOpen permanently discards what is sent on the open connections, without
// closing them. New connections are forwarded.
func (l *Link) BlackholeOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.once.Do(func() { close(c.blackholed) })
	}
}

// BreakAfter closes a connection once it has forwarded the nth byte from the target,
// counted over all connections from now on. 0 cancels this.
func (l *Link) BreakAfter(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakAfter = n
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	l.mu.Lock()
	cut, stalled := l.cut, l.stalled
	l.mu.Unlock()
	if cut {
		client.Close()
		return
	}
	if stalled {
		_, _ = io.Copy(io.Discard, client)
		client.Close()
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		client.Close()
		return
	}
	c := &connection{client: client, server: server, blackholed: make(chan struct{})}
	l.mu.Lock()
	if l.cut {
		c.close()
	}
	l.connections[c] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forwardOneWay(c, server, client, false) })
	both.Go(func() { l.forwardOneWay(c, client, server, true) })
	both.Wait()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// forwardOneWay forwards one direction until the connection ends or is blackholed.
func (l *Link) forwardOneWay(c *connection, to, from net.Conn, fromTarget bool) {
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		select {
		case <-c.blackholed:
			// A blackholed connection discards what it receives and stays open.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		l.mu.Lock()
		delay, drop := l.delay, l.dropResponses && fromTarget
		l.mu.Unlock()
		time.Sleep(delay)
		if drop && n > 0 {
			c.once.Do(func() { close(c.blackholed) })
			continue
		}
		broken := false
		if fromTarget {
			n, broken = l.countUntilBreak(n)
		}
		_, writeErr := to.Write(part[:n])
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			c.reset()
			return
		case writeErr != nil || err != nil || broken:
			c.close()
			return
		}
	}
}

// countUntilBreak counts n bytes from the target against breakAfter. It returns how many
// of them to forward, and whether to close the connection after them.
func (l *Link) countUntilBreak(n int) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.breakAfter == 0 {
		return n, false
	}
	if n < l.breakAfter {
		l.breakAfter -= n
		return n, false
	}
	n, l.breakAfter = l.breakAfter, 0
	return n, true
}

func (c *connection) close() {
	c.client.Close()
	c.server.Close()
}

// reset closes both ends so that their peers see a reset, which doesn't end a body as a
// regular end of the connection may.
func (c *connection) reset() {
	for _, end := range []net.Conn{c.client, c.server} {
		// An end that is closed already can't be reset.
		_ = end.(*net.TCPConn).SetLinger(0)
	}
	c.close()
}
