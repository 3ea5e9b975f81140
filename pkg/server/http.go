package server

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/intake"
)

// Timeouts of connections that are not idle.
const (
	// readHeaderTimeout limits the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than clients leave a connection idle before they reuse it.
	idleTimeout = 2 * time.Minute
)

// Limits of HTTP/2 connections, which only TLS has.
const (
	maxStreams             = 100
	maxStreamReceiveBytes  = 64 << 10
	maxReceiveBufferLength = 256 << 10
)

// NewHTTP returns a server and the listener that it serves. Connections and requests are subject
// to the limits of a gate.
func NewHTTP(gate *intake.Gate, inner net.Listener, handler http.Handler, o intake.Options) (*http.Server, net.Listener) {
	l := gate.Listen(inner, o)
	maxHeaderBytes := intake.DefaultMaxHeadBytes
	if o.MaxHeadBytes != nil {
		// The limit may change, so the connections enforce it.
		maxHeaderBytes = math.MaxInt32
	}
	return &http.Server{
		Handler:           l.Handler(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return ConnContext(intake.ConnContext(ctx, c), c)
		},
		ConnState: l.ConnState,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: maxStreamReceiveBytes, MaxReceiveBufferPerConnection: maxReceiveBufferLength,
		},
	}, l
}
