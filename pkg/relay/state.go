package relay

import (
	"strings"

	"github.com/pkg/errors"
)

// Errors of a response that can't be relayed. Their messages name the remedy.
var (
	// ErrNotContinuation means that the caller has received a part of another response,
	// which this one can't continue.
	ErrNotContinuation = errors.New("the response does not continue the one that has begun; try another upstream, or break the response off")
	// ErrNotAccepted means that a part or the end of a response arrived whose header was not
	// accepted.
	ErrNotAccepted = errors.New("the response was not accepted; break it off")
)

// Head describes a response. It must be equal in all responses that make up one response to
// a caller.
type Head struct {
	// Status is the HTTP status.
	Status int
	// MediaType is the media type of the body, without parameters.
	MediaType string
	// Streamed is true if the body is a stream of events, which another response can
	// continue.
	Streamed bool
}

// NewHead returns the head of a response with a status and a Content-Type.
func NewHead(status int, contentType string, streamed bool) Head {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return Head{Status: status, MediaType: strings.ToLower(strings.TrimSpace(mediaType)), Streamed: streamed}
}

// End is how a response to a caller ends.
type End int

// Ends of a response.
const (
	// EndRefused means that nothing has reached the caller, so that a refusal can.
	EndRefused End = iota
	// EndBroken means that a part has reached the caller, and that the connection must end
	// in a way that differs from that after a complete response.
	EndBroken
	// EndComplete means that the whole response has been written.
	EndComplete
)

// State is the state of the response to one caller. The zero value is that of a new request.
type State struct {
	// head is the head of the response that has begun, or that was accepted last.
	head Head
	// started is true once a part has reached the caller.
	started bool
	// accepted is true once the head of the response to the current attempt was accepted.
	accepted bool
	// complete is true once an accepted response has arrived and was written whole.
	complete bool
}

// StartAttempt records that the request is sent to another upstream.
func (s *State) StartAttempt() { s.accepted = false }

// CanContinue reports whether AcceptHead would accept a response to another attempt.
func (s *State) CanContinue(h Head) bool {
	return !s.complete && (!s.started || s.head.Streamed && h == s.head)
}

// AcceptHead accepts the response to the current attempt, or returns ErrNotContinuation.
func (s *State) AcceptHead(h Head) error {
	if !s.CanContinue(h) {
		s.accepted = false
		return ErrNotContinuation
	}
	s.head, s.accepted = h, true
	return nil
}

// AcceptPart accepts a part of the response to the current attempt, or returns
// ErrNotAccepted.
func (s *State) AcceptPart() error {
	if !s.accepted || s.complete {
		return ErrNotAccepted
	}
	return nil
}

// RecordStart records that a part has reached the caller, or may have.
func (s *State) RecordStart() { s.started = true }

// HasStarted reports whether a part has reached the caller.
func (s *State) HasStarted() bool { return s.started }

// RecordComplete records that the response to the current attempt has arrived and was written
// whole. It returns ErrNotAccepted if that is not the response that has begun.
func (s *State) RecordComplete() error {
	if err := s.AcceptPart(); err != nil {
		return err
	}
	s.complete = true
	return nil
}

// End returns how the response ends if nothing more is written.
func (s *State) End() End {
	switch {
	case s.complete:
		return EndComplete
	case s.started:
		return EndBroken
	default:
		return EndRefused
	}
}
