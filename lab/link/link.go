// Package link is a TCP forwarder that stands for the network between two
// processes. Each link can be cut, made silent for its open connections, or made
// to break a connection after a number of bytes.
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
	target   string
	listener net.Listener

	mu         sync.Mutex
	cut        bool
	breakAfter int
	delay      time.Duration
	// hung holds new connections without forwarding them, deaf drops what the target
	// sends.
	hung, deaf bool
	pairs      map[*pair]bool
}

// pair is the two ends of one forwarded connection.
type pair struct {
	client net.Conn
	server net.Conn
	// silent is closed when the pair stops forwarding for good.
	silent chan struct{}
	once   sync.Once
}

// New returns a link to a target address. It listens on loopback.
func New(target string) (*Link, error) { return NewAt("127.0.0.1:0", target) }

// NewAt returns a link that listens at an address.
func NewAt(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	link := &Link{target: target, listener: l, pairs: make(map[*pair]bool)}
	go link.accept()
	return link, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close cuts the link for good.
func (l *Link) Close() {
	l.listener.Close()
	l.Cut()
}

// SetDelay delays what is forwarded, in both directions.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetStalled makes new connections hang: they are taken, and nothing is forwarded.
func (l *Link) SetStalled(hung bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hung = hung
}

// SetDropResponses drops what the target sends, while what it is sent still arrives. What was
// dropped is lost, so a connection on which it was must not be used again.
func (l *Link) SetDropResponses(deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deaf = deaf
}

// Reset closes all open connections. New ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}

// Cut closes all connections and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	l.Reset()
}

// Heal lets connections through again.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

// BlackholeOpen makes the open connections silent for good. They stay open, and new
// connections work.
func (l *Link) BlackholeOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.once.Do(func() { close(p.silent) })
	}
}

// BreakAfter makes the next connection that receives n bytes from the target
// close after them. 0 takes that back.
func (l *Link) BreakAfter(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakAfter = n
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	l.mu.Lock()
	cut, hung := l.cut, l.hung
	l.mu.Unlock()
	if cut {
		client.Close()
		return
	}
	if hung {
		_, _ = io.Copy(io.Discard, client)
		client.Close()
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		client.Close()
		return
	}
	p := &pair{client: client, server: server, silent: make(chan struct{})}
	l.mu.Lock()
	if l.cut {
		p.close()
	}
	l.pairs[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(p, server, client, false) })
	both.Go(func() { l.copy(p, client, server, true) })
	both.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copy forwards one direction until the connection ends or goes silent.
func (l *Link) copy(p *pair, to, from net.Conn, answers bool) {
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		select {
		case <-p.silent:
			// A silent pair swallows what comes and stays open.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		l.mu.Lock()
		delay, deaf := l.delay, l.deaf && answers
		l.mu.Unlock()
		time.Sleep(delay)
		if deaf && n > 0 {
			p.once.Do(func() { close(p.silent) })
			continue
		}
		broken := false
		if answers {
			n, broken = l.take(n)
		}
		if _, writeErr := to.Write(part[:n]); writeErr != nil || err != nil || broken {
			p.close()
			return
		}
	}
}

// take returns how many of n bytes to forward, and whether to break after them.
func (l *Link) take(n int) (int, bool) {
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

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}
