package connpool

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Exchange is a request that was sent and its answer.
type Exchange struct {
	pool     *Pool
	conn     *conn
	stop     func() bool
	written  chan error
	response *http.Response
}

// start writes the request and reads the head of the answer. A long request is
// written while the answer is awaited, as the upstream may answer before it has
// read it.
func (x *Exchange) start(req *http.Request, raw []byte) error {
	if len(raw) <= writeAhead {
		n, err := x.conn.Write(raw)
		if err != nil && n == 0 {
			return errors.Wrap(ErrNotSent, err.Error())
		}
		x.written <- err
	} else {
		go func() {
			_, err := x.conn.Write(raw)
			x.written <- err
		}()
	}
	x.conn.head.begin()
	response, err := http.ReadResponse(x.conn.reader, req)
	if err != nil {
		return errors.Wrap(err, "no answer")
	}
	x.response = response
	return x.conn.head.end()
}

// Status returns the status of the answer.
func (x *Exchange) Status() int { return x.response.StatusCode }

// Header returns the header of the answer.
func (x *Exchange) Header() http.Header { return x.response.Header }

// Read reads the body. It returns io.EOF at its end, and any other error when
// the answer is not whole.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.response.Body.Read(b)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, errors.WithStack(err)
}

// Release gives the connection back after the body was read to its end.
func (x *Exchange) Release() {
	if !x.stop() || !x.sent() || x.response.Close || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.pool.put(x.conn, keepAlive(x.response.Header, x.pool.cfg.MaxIdle))
}

// sent reports whether the whole request was written.
func (x *Exchange) sent() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// Discard resets the connection.
func (x *Exchange) Discard() {
	x.stop()
	x.conn.abort()
}

// quiet reports whether a resting connection is open and nothing has arrived on
// it. Bytes that arrive between two requests belong to neither.
func quiet(c net.Conn) bool {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	ok = false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = n < 0 && errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && ok
}
