package connpool

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/acaciaglade/acaciaglade/pkg/httpclient"
)

// Exchange is a request that was sent and the response to it.
type Exchange struct {
	pool *Pool
	conn *conn
	// unrefused is Options.Unrefused.
	unrefused bool
	// stopAbort keeps the end of the request's context from resetting the connection. It
	// returns false if the context ended before.
	stopAbort func() bool
	// writeResult receives the result of writing the request.
	writeResult chan error
	response    *http.Response
}

// start writes the request and reads the header of the response. A long request is written
// in the background, as the upstream may respond before it has read all of it.
func (x *Exchange) start(req *http.Request, raw []byte) error {
	if len(raw) <= maxSyncWriteBytes {
		n, err := x.conn.Write(raw)
		if err != nil && n == 0 {
			return errors.Wrap(ErrNotSent, err.Error())
		}
		x.writeResult <- err
	} else {
		go func() {
			_, err := x.conn.Write(raw)
			x.writeResult <- err
		}()
	}
	for range maxInformational + 1 {
		response, err := x.readHeader(req)
		if err != nil {
			return err
		}
		if !isInformational(response) {
			x.response = response
			return nil
		}
	}
	return errTooManyInformational
}

// readHeader reads the header of a response.
func (x *Exchange) readHeader(req *http.Request) (*http.Response, error) {
	x.conn.header.startHeader()
	response, err := http.ReadResponse(x.conn.reader, req)
	if err != nil {
		return nil, errors.Wrap(err, "no answer")
	}
	if !httpclient.IsStatus(response.StatusCode) {
		return nil, errors.Wrapf(errInvalidStatus, "status %03d", response.StatusCode)
	}
	return response, x.conn.header.endHeader()
}

// errInvalidStatus means that the status of a response is none of HTTP.
var errInvalidStatus = errors.New("the status is none of HTTP, so the bytes are no response; look at the upstream")

// isInformational reports whether another response to the same request follows. None
// follows a change of the protocol.
func isInformational(r *http.Response) bool {
	return r.StatusCode < http.StatusOK && r.StatusCode != http.StatusSwitchingProtocols
}

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.response.StatusCode }

// Header returns the header of the response.
func (x *Exchange) Header() http.Header { return x.response.Header }

// EndsWithConnection reports whether the body has neither a length nor chunks, so that only
// the end of the connection ends it. A body that was cut off can then look complete. A
// response to HEAD has no body.
func (x *Exchange) EndsWithConnection() bool {
	if x.response.Request.Method == http.MethodHead {
		return false
	}
	return x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

// IsOnReusedConnection reports whether the connection may have carried an earlier request.
func (x *Exchange) IsOnReusedConnection() bool { return x.conn.reused }

// MarkRefused records that the response refuses the request, see Options.Unrefused.
func (x *Exchange) MarkRefused() { x.conn.refused = true }

// Read reads the body. It returns io.EOF at its end, and any other error if the response
// is incomplete.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.response.Body.Read(b)
	if errors.Is(err, io.EOF) && x.EndsWithConnection() {
		if endErr := x.connectionError(); endErr != nil {
			return n, endErr
		}
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, errors.WithStack(err)
}

// connectionError returns the error with which the connection has ended, or nil if the upstream
// has closed it. The system reports such an error only once: if writing the request gets it,
// reading sees a plain end.
func (x *Exchange) connectionError() error {
	var err error
	select {
	case err = <-x.writeResult:
	default:
		// The upstream has ended its response, so the rest of the request is of no use.
		if err := x.conn.SetWriteDeadline(time.Now()); err != nil {
			return errors.WithStack(err)
		}
		err = <-x.writeResult
	}
	x.writeResult <- err
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		// EPIPE follows a close by the upstream.
		return nil
	}
	return errors.Wrap(err, "the connection broke while the request was written")
}

// Release returns the connection to the pool after the body was read to its end. It closes
// the connection if it can't be reused, also by the next request of the same kind.
func (x *Exchange) Release() {
	if !x.stopAbort() || x.unrefused && x.conn.refused || !x.isWritten() || x.response.Close || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.pool.release(x.conn, upstreamMaxIdle(x.response.Header, x.pool.cfg.MaxIdle))
}

// isWritten reports whether the whole request was written.
func (x *Exchange) isWritten() bool {
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

// Discard resets the connection.
func (x *Exchange) Discard() {
	x.stopAbort()
	x.conn.abort()
}

// isReusable reports whether an idle connection is open and no bytes have arrived on it.
// Bytes that arrive between two requests belong to neither.
func isReusable(c net.Conn) bool {
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
