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
	ErrWrongRequest = errors.New("frame of another request; drop the connection and resume")
	ErrMissingFrame = errors.New("frame missing; drop the connection and resume")
	// ErrRerunDiffers means that a request that was run again got another answer than
	// the part that its caller has.
	ErrRerunDiffers     = errors.New("the answer differs from the part that was relayed; break it off")
	ErrChecksumMismatch = errors.New("count or checksum differs; treat the answer as incomplete")
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
	// repeated is how many data frames of an earlier run the caller has, and
	// repeatedSum their checksum.
	repeated    int
	repeatedSum string
}

// NewVerifier returns a verifier of a request's answer.
func NewVerifier(requestID string) *Verifier {
	return &Verifier{requestID: requestID, next: 1, sum: NewChecksum()}
}

// StartRerun prepares for an answer that begins anew after a part of it was relayed.
// The frames of that part have to come again as they were, and are not new.
func (v *Verifier) StartRerun() {
	if v.sum.Count() >= v.repeated {
		v.repeated, v.repeatedSum = v.sum.Count(), v.sum.Sum()
	}
	v.next, v.sum = 1, NewChecksum()
}

// NextSeq returns the number of the data frame that is due.
func (v *Verifier) NextSeq() int { return v.next }

// Accept checks a frame. It reports whether the frame is new to the caller; a
// frame that was seen on an earlier connection is not.
func (v *Verifier) Accept(f *api.Frame) (fresh bool, err error) {
	if f.RequestID != v.requestID {
		return false, ErrWrongRequest
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
		return false, ErrMissingFrame
	}
	v.next++
	v.sum.Add(f.Data)
	if f.Seq == v.repeated && v.sum.Sum() != v.repeatedSum {
		return false, ErrRerunDiffers
	}
	return f.Seq > v.repeated, nil
}

func (v *Verifier) final(f *api.Frame) error {
	if f.Outcome != api.OutcomeComplete {
		return nil
	}
	if f.Count < v.repeated {
		return ErrRerunDiffers
	}
	if f.Count != v.sum.Count() || f.Checksum != v.sum.Sum() || !v.headSeen {
		return ErrChecksumMismatch
	}
	return nil
}
