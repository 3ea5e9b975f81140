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
)

// EventSplitter splits a stream of server-sent events into whole events. A partial event
// at the end of the stream is not returned.
type EventSplitter struct {
	// partial holds the bytes that have arrived of an event that is not complete.
	partial []byte
	// lastID is the ID of the last whole event.
	lastID string
}

// eventEnd terminates each event.
var eventEnd = []byte("\n\n")

// idField is the name of the field with an event's ID.
var idField = []byte("id:")

// Append appends bytes of the stream and returns the whole events that they complete, or
// nil if there is none. The result is valid until the next call. After an error nothing
// more of the stream must be used: it may contain another response, or bytes that never
// complete an event.
func (e *EventSplitter) Append(b []byte) ([]byte, error) {
	// Only the end of an event can be split between the bytes before and the new ones.
	searched := max(0, len(e.partial)-len(eventEnd)+1)
	e.partial = append(e.partial, b...)
	end := bytes.LastIndex(e.partial[searched:], eventEnd)
	if end < 0 {
		if len(e.partial) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		return nil, nil
	}
	end += searched + len(eventEnd)
	whole := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	if err := e.recordIDs(whole); err != nil {
		return nil, err
	}
	return whole, nil
}

// recordIDs records the ID of the last event that has one. Numeric IDs must increase.
func (e *EventSplitter) recordIDs(whole []byte) error {
	for line := range bytes.Lines(whole) {
		field, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(field))
		previous, errPrevious := strconv.ParseUint(e.lastID, 10, 64)
		current, errCurrent := strconv.ParseUint(id, 10, 64)
		if errPrevious == nil && errCurrent == nil && current <= previous {
			return ErrEventOrder
		}
		e.lastID = id
	}
	return nil
}

// HasPartialEvent reports whether part of an event has arrived. Blank lines between events
// are no part of one.
func (e *EventSplitter) HasPartialEvent() bool { return len(bytes.Trim(e.partial, "\n")) > 0 }

// LastID returns the ID of the last whole event, or an empty string before the first.
func (e *EventSplitter) LastID() string { return e.lastID }

// DiscardPartial discards a partial event, because the stream resumes at another upstream
// after the last whole one.
func (e *EventSplitter) DiscardPartial() { e.partial = e.partial[:0] }
