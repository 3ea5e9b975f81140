package stream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes is the largest event that is waited for: some hundred times that of the
// tokens of a pass.
const maxEventBytes = 256 << 10

// Errors of events. Their messages name the remedy.
var (
	ErrEventTooLong = errors.New("an event does not end; drop the connection and resume after the last whole one")
	ErrEventOrder   = errors.New("an event comes again or out of order; drop the connection and resume after the last one")
)

// EventSplitter splits a stream of server-sent events into whole events. What remains
// of a torn event at the end is dropped.
type EventSplitter struct {
	rest []byte
	// last is the ID of the last whole event.
	last string
}

// eventEnd ends each event.
var eventEnd = []byte("\n\n")

// idField names the field with an event's ID.
var idField = []byte("id:")

// Append takes bytes of the stream and returns the whole events that they complete, nil when
// there is none. The result is valid until the next call. After an error nothing of the
// stream is to be taken any more: another answer may have got into it, or what comes never
// becomes an event.
func (e *EventSplitter) Append(b []byte) ([]byte, error) {
	e.rest = append(e.rest, b...)
	end := bytes.LastIndex(e.rest, eventEnd)
	if end < 0 {
		if len(e.rest) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		return nil, nil
	}
	end += len(eventEnd)
	whole := bytes.Clone(e.rest[:end])
	e.rest = append(e.rest[:0], e.rest[end:]...)
	if err := e.note(whole); err != nil {
		return nil, err
	}
	return whole, nil
}

// note remembers the ID of the last event that has one. IDs that are numbers grow.
func (e *EventSplitter) note(whole []byte) error {
	for line := range bytes.Lines(whole) {
		field, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(field))
		before, errBefore := strconv.ParseUint(e.last, 10, 64)
		now, errNow := strconv.ParseUint(id, 10, 64)
		if errBefore == nil && errNow == nil && now <= before {
			return ErrEventOrder
		}
		e.last = id
	}
	return nil
}

// HasPartialEvent reports whether a part of an event has arrived.
func (e *EventSplitter) HasPartialEvent() bool { return len(e.rest) > 0 }

// LastID returns the ID of the last whole event, empty before the first.
func (e *EventSplitter) LastID() string { return e.last }

// DiscardPartial forgets a torn event, as the stream goes on elsewhere after the last
// whole one.
func (e *EventSplitter) DiscardPartial() { e.rest = e.rest[:0] }
