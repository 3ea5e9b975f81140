package stream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes limits the size of an event. It is some hundred times the size of an event
// with the tokens of one forward pass.
const maxEventBytes = 256 << 10

// Errors of events. Their messages name the remedy.
var (
	ErrEventTooLong = errors.New("an event does not end; drop the connection and resume after the last whole one")
	ErrEventOrder   = errors.New("an event comes again or out of order; drop the connection and resume after the last one")
	ErrEventMissing = errors.New("the stream skips an event; drop the connection and resume after the last one")
	// ErrForeignEvent means that something else follows in a stream: an event without ID after
	// those with IDs, another response that begins with an ID which is no number, or fields that
	// no event has, such as those of another response.
	ErrForeignEvent = errors.New("the stream goes on with something that is no event of it; drop the connection and resume after the last one")
	ErrEventCut     = errors.New("the stream ends within an event; resume after the last whole one")
	ErrNoEvent      = errors.New("the connection ends before the first event; send the request again")
	// ErrNotResumable means that the last event has no number by which another response could
	// continue after it.
	ErrNotResumable = errors.New("the last event has no numeric ID; break the stream off")
	// ErrNotContinued means that another response to a request has no event, although the
	// stream had been broken off before its end.
	ErrNotContinued = errors.New("the stream was resumed and has no further event; resume it elsewhere")
)

// EventSplitter splits a stream of server-sent events into whole events. The stream may
// consist of several responses, each of which continues the one before after the last whole
// event. A partial event at the end of a response is not returned.
type EventSplitter struct {
	// partial holds the bytes that have arrived of an event that is not complete.
	partial []byte
	// lastID is the ID of the last whole event that had one, or that the caller knew before.
	lastID string
	// total is the number of whole events, current that of the current response.
	total, current int
	// gaps is true if the IDs of two events of the same response were not consecutive
	// numbers.
	gaps bool
	// lastHasNoID is true if the last whole event had no ID.
	lastHasNoID bool
	// doubtfulEnd is true if the last whole event may be the last of the stream.
	doubtfulEnd bool
}

// NewEventSplitter returns a splitter of the stream after the event with the given ID, which
// is empty for a stream from its beginning.
func NewEventSplitter(lastID string) *EventSplitter { return &EventSplitter{lastID: lastID} }

// eventEnds are the blank lines that terminate an event. A stream has one of them throughout.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// maxEventEnd is the length of the longest of eventEnds.
const maxEventEnd = 4

// cutEvent splits bytes after the first event in them. It returns an empty event if there is no
// whole one.
func cutEvent(b []byte) (event, after []byte) {
	end := 0
	for _, terminator := range eventEnds {
		if i := bytes.Index(b, terminator); i >= 0 && (end == 0 || i+len(terminator) < end) {
			end = i + len(terminator)
		}
	}
	return b[:end], b[end:]
}

// lastEventEnd returns the position after the last event in bytes, 0 if there is no whole one.
func lastEventEnd(b []byte) int {
	end := 0
	for _, terminator := range eventEnds {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// Names of fields of an event.
var (
	idField    = []byte("id")
	retryField = []byte("retry")
)

// StartResponse begins another response, which has to continue after the last whole event. It
// returns ErrNotResumable if none can.
func (e *EventSplitter) StartResponse() error {
	e.partial, e.current = e.partial[:0], 0
	if !e.CanResume() {
		return ErrNotResumable
	}
	return nil
}

// Fork returns a splitter for another response that continues after the last whole event, while
// the current one may still go on. It returns ErrNotResumable if none can.
func (e *EventSplitter) Fork() (*EventSplitter, error) {
	fork := *e
	fork.partial = nil
	if err := fork.StartResponse(); err != nil {
		return nil, err
	}
	return &fork, nil
}

// Append appends bytes of the current response and returns the whole events that they
// complete, or nil if there is none. The result is valid until the next call. With an error it
// returns the events before the invalid one. Nothing more of the response must be used then:
// it may contain another response, or bytes that never complete an event.
func (e *EventSplitter) Append(b []byte) ([]byte, error) {
	// Only the end of an event can be split between the bytes before and the new ones.
	searched := max(0, len(e.partial)-maxEventEnd+1)
	e.partial = append(e.partial, b...)
	end := lastEventEnd(e.partial[searched:])
	if end == 0 {
		if len(e.partial) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		return nil, nil
	}
	end += searched
	whole := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	for rest := whole; len(rest) > 0; {
		event, after := cutEvent(rest)
		if len(event) == 0 {
			// Only line ends are left.
			break
		}
		if err := e.check(event); err != nil {
			return whole[:len(whole)-len(rest)], err
		}
		rest = after
	}
	return whole, nil
}

// check checks and records one whole event.
func (e *EventSplitter) check(event []byte) error {
	id, hasID, isEvent, err := parseEvent(event)
	switch {
	case err != nil:
		return err
	case !isEvent:
		return nil
	case hasID:
		if err := e.checkID(id); err != nil {
			return err
		}
		e.lastID = id
	case e.total > 0 && !e.lastHasNoID:
		return ErrForeignEvent
	}
	e.lastHasNoID, e.doubtfulEnd = !hasID, false
	e.total++
	e.current++
	return nil
}

// parseEvent returns the ID of an event. isEvent is false for comments and for settings of the
// stream.
func parseEvent(event []byte) (id string, hasID, isEvent bool, err error) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) == 0 || bytes.Equal(name, retryField) {
			continue
		}
		if !isFieldName(name) {
			return "", false, false, ErrForeignEvent
		}
		isEvent = true
		if bytes.Equal(name, idField) {
			id, hasID = string(bytes.TrimSpace(value)), true
		}
	}
	return id, hasID, isEvent, nil
}

// isFieldName reports whether a name can be that of an event's field. The names of the standard
// and those of extensions are in lower case, other than a status line and most headers.
func isFieldName(name []byte) bool {
	return len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-_")) == 0
}

// checkID checks that numeric IDs increase, and that a response which continues another one
// begins with such an ID and skips none.
func (e *EventSplitter) checkID(id string) error {
	previous, errPrevious := strconv.ParseUint(e.lastID, 10, 64)
	current, errCurrent := strconv.ParseUint(id, 10, 64)
	if errCurrent != nil && e.current == 0 && e.total > 0 {
		return ErrForeignEvent
	}
	if errPrevious != nil || errCurrent != nil {
		return nil
	}
	if current <= previous {
		return ErrEventOrder
	}
	if current == previous+1 || e.total == 0 {
		return nil
	}
	if e.current == 0 && !e.gaps {
		return ErrEventMissing
	}
	e.gaps = true
	return nil
}

// RecordDoubtfulEnd records that the current response has ended as a whole one does, but perhaps
// because its upstream has ended. Another response may continue it, or state by its own end that
// nothing follows.
func (e *EventSplitter) RecordDoubtfulEnd() { e.doubtfulEnd = true }

// CheckEnd checks that the stream is complete, now that the current response has ended.
// endsWithConnection states whether only the end of the connection ended the response.
func (e *EventSplitter) CheckEnd(endsWithConnection bool) error {
	switch {
	// Blank lines between events are no part of one.
	case len(bytes.Trim(e.partial, "\r\n")) > 0:
		return ErrEventCut
	case e.current == 0 && e.total > 0 && (endsWithConnection || !e.doubtfulEnd):
		return ErrNotContinued
	case e.current == 0 && endsWithConnection:
		// An upstream that ends after the header closes the connection as well.
		return ErrNoEvent
	default:
		return nil
	}
}

// CanResume reports whether another response can continue after the last whole event. Before
// the first one any response to the same request can.
func (e *EventSplitter) CanResume() bool {
	if e.total == 0 {
		return true
	}
	_, err := strconv.ParseUint(e.lastID, 10, 64)
	return err == nil && !e.lastHasNoID
}

// LastID returns the ID of the last whole event, or that which the caller knew before.
func (e *EventSplitter) LastID() string { return e.lastID }
