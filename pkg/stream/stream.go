// Package stream writes and verifies the framed responses of agents. Data frames are
// numbered from 1; the final frame carries their count and checksum. A stream without a
// matching final frame is incomplete. The package also splits the server-sent events of
// upstreams without agents into whole events. It does no I/O.
package stream

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Errors of an invalid stream. Their messages name the remedy.
var (
	ErrWrongRequest = errors.New("frame of another request; drop the connection and resume")
	ErrMissingFrame = errors.New("frame missing; drop the connection and resume")
	// ErrOtherResponse means that a resumed response has another header than before.
	ErrOtherResponse = errors.New("header of another response; drop the connection and resume")
	// ErrRerunDiffers means that another run of a request returned data that differs from
	// the part which its caller has received.
	ErrRerunDiffers     = errors.New("the answer differs from the part that was relayed; break it off")
	ErrChecksumMismatch = errors.New("count or checksum differs; treat the answer as incomplete")
)

// Checksum computes the checksum of the data of a response.
type Checksum struct {
	digest *xxhash.Digest
	count  int
}

// NewChecksum returns an empty checksum.
func NewChecksum() *Checksum { return &Checksum{digest: xxhash.New()} }

// Add adds one part of the response.
func (c *Checksum) Add(data []byte) {
	_, _ = c.digest.Write(data)
	c.count++
}

// Count returns the number of parts.
func (c *Checksum) Count() int { return c.count }

// Sum returns the checksum in hexadecimal.
func (c *Checksum) Sum() string { return fmt.Sprintf("%016x", c.digest.Sum64()) }

// Verifier verifies the frames of the response to one request, over any number of
// connections.
type Verifier struct {
	requestID  string
	nextSeq    int
	checksum   *Checksum
	headerSeen bool
	// status is that in the header.
	status int
	// priorCount is the number of data frames of earlier runs that the caller has
	// received, and priorSum their checksum.
	priorCount int
	priorSum   string
}

// NewVerifier returns a verifier of the response to a request.
func NewVerifier(requestID string) *Verifier {
	return &Verifier{requestID: requestID, nextSeq: 1, checksum: NewChecksum()}
}

// StartRerun prepares for a response that starts again after part of it was relayed. The
// frames of that part must be repeated unchanged, and are not new.
func (v *Verifier) StartRerun() {
	if v.checksum.Count() >= v.priorCount {
		v.priorCount, v.priorSum = v.checksum.Count(), v.checksum.Sum()
	}
	v.nextSeq, v.checksum, v.headerSeen = 1, NewChecksum(), false
}

// NextSeq returns the sequence number of the next data frame.
func (v *Verifier) NextSeq() int { return v.nextSeq }

// Accept verifies a frame. It reports whether the frame is new to the caller; a frame that
// was received on an earlier connection is not.
func (v *Verifier) Accept(f *api.Frame) (fresh bool, err error) {
	if f.RequestID != v.requestID {
		return false, ErrWrongRequest
	}
	switch f.Kind {
	case api.FrameHeader:
		if v.headerSeen && f.Status != v.status {
			return false, ErrOtherResponse
		}
		fresh, v.headerSeen, v.status = !v.headerSeen, true, f.Status
		return fresh, nil
	case api.FrameData:
		return v.acceptData(f)
	case api.FrameFinal:
		return true, v.checkFinal(f)
	default:
		return false, nil
	}
}

func (v *Verifier) acceptData(f *api.Frame) (bool, error) {
	if f.Seq < v.nextSeq {
		return false, nil
	}
	if f.Seq > v.nextSeq || !v.headerSeen {
		return false, ErrMissingFrame
	}
	v.nextSeq++
	v.checksum.Add(f.Data)
	if f.Seq == v.priorCount && v.checksum.Sum() != v.priorSum {
		return false, ErrRerunDiffers
	}
	return f.Seq > v.priorCount, nil
}

func (v *Verifier) checkFinal(f *api.Frame) error {
	if f.Outcome != api.OutcomeComplete {
		return nil
	}
	if f.Count < v.priorCount {
		return ErrRerunDiffers
	}
	if f.Count != v.checksum.Count() || f.Checksum != v.checksum.Sum() || !v.headerSeen {
		return ErrChecksumMismatch
	}
	return nil
}
