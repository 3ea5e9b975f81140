package connpool

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the head of an answer. An upstream in trouble may send bytes without end that
// never become one.
const (
	// maxHeadBytes is the largest head: servers and proxies commonly allow 8 to 64 KiB.
	maxHeadBytes = 64 << 10
	// headTime is how long a head may take from its first byte on. It is written at once.
	headTime = 2 * time.Second
)

// errHeadTooLong means that what an upstream sends is no head of an answer.
var errHeadTooLong = errors.New("the head of the answer is too long; look at the upstream")

// headReader reads from a connection and bounds what is read while a head is awaited.
type headReader struct {
	net.Conn
	// awaits is true while a head is read, left how many more bytes it may have.
	awaits bool
	left   int
}

// begin awaits a head.
func (r *headReader) begin() { r.awaits, r.left = true, maxHeadBytes }

// end reads on without a bound. The error is that of setting the connection's deadline.
func (r *headReader) end() error {
	r.awaits = false
	return errors.WithStack(r.SetReadDeadline(time.Time{}))
}

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if !r.awaits {
		return r.Conn.Read(b)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Conn.Read(b[:min(len(b), r.left)])
	if n > 0 && r.left == maxHeadBytes {
		if err := r.SetReadDeadline(time.Now().Add(headTime)); err != nil {
			return n, errors.WithStack(err)
		}
	}
	r.left -= n
	return n, err
}

var _ io.Reader = (*headReader)(nil)
