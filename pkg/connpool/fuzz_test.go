package connpool

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"
)

// scriptedConn is a connection on which fixed bytes arrive, followed by its end.
type scriptedConn struct {
	net.Conn
	in bytes.Reader
}

func (c *scriptedConn) Read(b []byte) (int, error)      { return c.in.Read(b) }
func (c *scriptedConn) Write(b []byte) (int, error)     { return len(b), nil }
func (c *scriptedConn) Close() error                    { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error     { return nil }

// FuzzResponse checks, for any bytes of an upstream, that a body that was read without an
// error is as long as the header says, and that a connection is kept only if nothing but the
// response has arrived on it.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		validResponse,
		validResponse + "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + validResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\ngood\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ngood",
		"HTTP/1.0 200 OK\r\nKeep-Alive: timeout=-9\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		p, c := newTestPool(), &scriptedConn{}
		c.in.Reset(input)
		x := newTestExchange(p, c)
		req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
		if err := x.start(req, []byte("request")); err != nil {
			return
		}
		if status := x.Status(); status < http.StatusOK && status != http.StatusSwitchingProtocols {
			t.Errorf("informational status %d returned as the response", status)
		}
		body, err := io.ReadAll(x)
		if len(body) > len(input) {
			t.Errorf("%d bytes of body in %d bytes", len(body), len(input))
		}
		if err != nil {
			return
		}
		if length := x.response.ContentLength; length >= 0 && int64(len(body)) != length {
			t.Errorf("%d bytes of body, %d announced", len(body), length)
		}
		x.Release()
		if len(p.idle[""]) > 0 && c.in.Len() > 0 {
			t.Errorf("the connection is kept and %d bytes were not read", c.in.Len())
		}
	})
}

func newTestExchange(p *Pool, c net.Conn) *Exchange {
	conn := newConn(c, "")
	return &Exchange{pool: p, conn: conn, writeResult: make(chan error, 1), stopAbort: func() bool { return true }}
}
