package stream

import (
	"bytes"
)

// Events splits a stream of server-sent events into whole events. What remains
// of a torn event at the end is dropped.
type Events struct {
	rest []byte
	// last is the ID of the last whole event.
	last string
}

// eventEnd ends each event.
var eventEnd = []byte("\n\n")

// idField names the field with an event's ID.
var idField = []byte("id:")

// Push takes bytes of the stream and returns the whole events that they
// complete, nil when there is none. The result is valid until the next call.
func (e *Events) Push(b []byte) []byte {
	e.rest = append(e.rest, b...)
	end := bytes.LastIndex(e.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := bytes.Clone(e.rest[:end])
	e.rest = append(e.rest[:0], e.rest[end:]...)
	e.note(whole)
	return whole
}

// note remembers the ID of the last event that has one.
func (e *Events) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}

// Torn reports whether a part of an event has arrived.
func (e *Events) Torn() bool { return len(e.rest) > 0 }

// LastID returns the ID of the last whole event, empty before the first.
func (e *Events) LastID() string { return e.last }

// Drop forgets a torn event, as the stream goes on elsewhere after the last
// whole one.
func (e *Events) Drop() { e.rest = e.rest[:0] }
