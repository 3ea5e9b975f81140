// Package stream writes and checks the framed answers of agents. Data frames
// are numbered from 1; the final frame carries their count and checksum. A
// stream without a matching final frame is incomplete. It is pure.
package stream

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Errors of a broken stream. Their messages name the remedy.
var (
	ErrForeign  = errors.New("frame of another request; drop the connection and resume")
	ErrGap      = errors.New("frame missing; drop the connection and resume")
	ErrMismatch = errors.New("count or checksum differs; treat the answer as incomplete")
)

// Checksum sums the data of an answer.
type Checksum struct {
	digest *xxhash.Digest
	count  int
}

// NewChecksum returns an empty checksum.
func NewChecksum() *Checksum { return &Checksum{digest: xxhash.New()} }

// Add adds one part of the answer.
func (c *Checksum) Add(data []byte) {
	_, _ = c.digest.Write(data)
	c.count++
}

// Count returns the number of parts.
func (c *Checksum) Count() int { return c.count }

// Sum returns the checksum in hexadecimal.
func (c *Checksum) Sum() string { return fmt.Sprintf("%016x", c.digest.Sum64()) }

// Verifier checks the frames of one request's answer, over any number of
// connections.
type Verifier struct {
	requestID string
	next      int
	sum       *Checksum
	headSeen  bool
}

// NewVerifier returns a verifier of a request's answer.
func NewVerifier(requestID string) *Verifier {
	return &Verifier{requestID: requestID, next: 1, sum: NewChecksum()}
}

// Next returns the number of the data frame that is due.
func (v *Verifier) Next() int { return v.next }

// Accept checks a frame. It reports whether the frame is new to the caller; a
// frame that was seen on an earlier connection is not.
func (v *Verifier) Accept(f *api.Frame) (fresh bool, err error) {
	if f.RequestID != v.requestID {
		return false, ErrForeign
	}
	switch f.Kind {
	case api.FrameHead:
		fresh, v.headSeen = !v.headSeen, true
		return fresh, nil
	case api.FrameData:
		return v.data(f)
	case api.FrameFinal:
		return true, v.final(f)
	default:
		return false, nil
	}
}

func (v *Verifier) data(f *api.Frame) (bool, error) {
	if f.Seq < v.next {
		return false, nil
	}
	if f.Seq > v.next || !v.headSeen {
		return false, ErrGap
	}
	v.next++
	v.sum.Add(f.Data)
	return true, nil
}

func (v *Verifier) final(f *api.Frame) error {
	if f.Outcome != api.OutcomeComplete {
		return nil
	}
	if f.Count != v.sum.Count() || f.Checksum != v.sum.Sum() || !v.headSeen {
		return ErrMismatch
	}
	return nil
}
