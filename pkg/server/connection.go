package server

import (
	"context"
	"net"

	"github.com/pkg/errors"
)

type connKey struct{}

// ConnContext makes the connection of a request available to SetResetOnClose. It is the
// ConnContext of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// defaultLinger is the linger time, in seconds, with which a connection is closed without a
// reset.
const defaultLinger = -1

// SetResetOnClose determines how the connection of a request is closed: by a reset, or as
// usual. It has no effect on a connection that is not TCP, or in a context without one.
func SetResetOnClose(ctx context.Context, reset bool) error {
	tcp, ok := transportConn(ctx).(*net.TCPConn)
	if !ok {
		return nil
	}
	linger := defaultLinger
	if reset {
		linger = 0
	}
	return errors.Wrap(tcp.SetLinger(linger), "the connection to the caller is gone")
}

// CloseTransport closes the connection of a request without the close notification of TLS,
// which ends a response without length as a complete one. It has no effect in a context
// without a connection.
func CloseTransport(ctx context.Context) error {
	c := transportConn(ctx)
	if c == nil {
		return nil
	}
	return errors.Wrap(c.Close(), "the connection to the caller is gone")
}

// transportConn returns the connection of a request below TLS and limits, or nil.
func transportConn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}
