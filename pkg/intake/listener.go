package intake

import (
	"cmp"
	"net"
	"net/http"
)

// Options are the limits of a listener.
type Options struct {
	// Name names the listener in metrics and logs.
	Name string
	// Share is the share of the process's descriptors that its connections may take.
	Share float64
	// TLS is true if the connections carry TLS.
	TLS bool
	// MaxHeadBytes returns the longest head of a request, 0 while it is not known. nil means
	// DefaultMaxHeadBytes.
	MaxHeadBytes func() int
	// BodyFactor is the memory that a byte of a body takes while a request is served.
	BodyFactor int
}

// Longest heads of requests in bytes.
const (
	// DefaultMaxHeadBytes applies if no limit is set.
	DefaultMaxHeadBytes = 64 << 10
	// unknownMaxHeadBytes applies while the limit is not known.
	unknownMaxHeadBytes = 1 << 20
)

// Listener accepts connections within the limits of a gate. It is a net.Listener.
type Listener struct {
	net.Listener
	Options
	gate  *Gate
	group *Group
}

// Listen wraps a listener.
func (g *Gate) Listen(inner net.Listener, o Options) *Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Listener{Listener: inner, Options: o, gate: g, group: g.table.AddGroup(o.Name, g.limits.connections(o.Share))}
}

// Accept implements net.Listener. It closes connections that the listener can't take.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(l, inner); c != nil {
			return c, nil
		}
		// Nothing was read from the connection, so nobody waits for the error.
		_ = inner.Close()
	}
}

// headLimit returns the longest head of a request.
func (l *Listener) headLimit() int {
	if l.MaxHeadBytes == nil {
		return DefaultMaxHeadBytes
	}
	return cmp.Or(l.MaxHeadBytes(), unknownMaxHeadBytes)
}

// ConnState records when connections have no request left. It is the ConnState of an
// http.Server.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if own := connOf(c); own != nil && state == http.StateIdle {
		own.rest()
	}
}
