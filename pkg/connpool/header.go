package connpool

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Limits of the header of a response. A faulty upstream may send an endless stream of bytes
// that never completes a header.
const (
	// maxHeaderBytes is the largest header: servers and proxies commonly allow 8 to 64 KiB.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time from the first byte of a header to its last one. A
	// valid header is written at once.
	headerTimeout = 2 * time.Second
	// maxInformational is the number of informational responses (status 1xx) that may
	// precede a response.
	maxInformational = 5
)

// errHeaderTooLong means that an upstream sent more than maxHeaderBytes without completing
// a header.
var errHeaderTooLong = errors.New("the head of the answer is too long; look at the upstream")

// errTooManyInformational means that an upstream sent more than maxInformational
// informational responses.
var errTooManyInformational = errors.New("too many informational responses; look at the upstream")

// headerReader reads from a connection and limits what is read as part of a header.
type headerReader struct {
	net.Conn
	// limited is true while a header is read, and remaining is the number of bytes that it
	// may still have.
	limited   bool
	remaining int
}

// startHeader limits reads from now on.
func (r *headerReader) startHeader() { r.limited, r.remaining = true, maxHeaderBytes }

// endHeader removes the limit and the read deadline.
func (r *headerReader) endHeader() error {
	r.limited = false
	return errors.WithStack(r.SetReadDeadline(time.Time{}))
}

// Read implements io.Reader.
func (r *headerReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(b)
	}
	if r.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := r.Conn.Read(b[:min(len(b), r.remaining)])
	if n > 0 && r.remaining == maxHeaderBytes {
		if err := r.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
			return n, errors.WithStack(err)
		}
	}
	r.remaining -= n
	return n, err
}

var _ io.Reader = (*headerReader)(nil)
