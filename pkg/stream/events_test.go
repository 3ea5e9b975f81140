package stream

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
)

// push gives a sound part of a stream.
func push(t *testing.T, e *EventSplitter, part string) string {
	t.Helper()
	whole, err := e.Append([]byte(part))
	if err != nil {
		t.Fatal(err)
	}
	return string(whole)
}

// TestAnEventWithoutEnd answers the pattern of a server in trouble that sends bytes which
// never become an event: little of it is held.
func TestAnEventWithoutEnd(t *testing.T) {
	var e EventSplitter
	push(t, &e, "id: 1\ndata: a\n\n")
	part := bytes.Repeat([]byte("x"), 4<<10)
	for range 1 << 10 {
		if _, err := e.Append(part); err != nil {
			if !errors.Is(err, ErrEventTooLong) || e.LastID() != "1" || cap(e.rest) > 4*maxEventBytes {
				t.Errorf("%v after event %s, %d bytes held", err, e.LastID(), cap(e.rest))
			}
			return
		}
	}
	t.Error("4 MiB passed for the beginning of an event")
}

// TestASecondAnswerInAStream lets the events of another answer, or of a second copy of the
// same one, get into a stream: none of them is passed on.
func TestASecondAnswerInAStream(t *testing.T) {
	for name, second := range map[string]string{
		"a copy from the start": "id: 1\ndata: a\n\n",
		"the latest event":      "id: 2\ndata: b\n\n",
		"behind a head":         "HTTP/1.1 200 OK\nX: y\n\nid: 1\ndata: other\n\n",
	} {
		var e EventSplitter
		push(t, &e, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		if whole, err := e.Append([]byte(second)); !errors.Is(err, ErrEventOrder) || len(whole) > 0 || e.LastID() != "2" {
			t.Errorf("%s: %q, %v, last event %s", name, whole, err, e.LastID())
		}
	}
}

// TestEventsAreWholeHoweverTheyArrive cuts a stream anywhere: what goes on is whole
// events in order, and what is left is a torn one.
func TestEventsAreWholeHoweverTheyArrive(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("whole events in order", prop.ForAll(func(n int, cuts []int, torn int) bool {
		var all strings.Builder
		for i := range n {
			fmt.Fprintf(&all, "id: %d\ndata: x%d\n\n", i+1, i)
		}
		whole := all.Len()
		tail := "id: 99\ndata: torn"[:torn]
		raw := all.String() + tail
		var e EventSplitter
		out := ""
		for _, cut := range cuts {
			size := min(cut, len(raw))
			out += push(t, &e, raw[:size])
			raw = raw[size:]
		}
		out += push(t, &e, raw)
		last := ""
		if n > 0 {
			last = fmt.Sprint(n)
		}
		return out == all.String()[:whole] && e.LastID() == last && e.HasPartialEvent() == (torn > 0)
	}, gen.IntRange(0, 6), gen.SliceOf(gen.IntRange(1, 9)), gen.IntRange(0, 12)))
	properties.TestingRun(t)
}

// TestTornEventIsDroppedBeforeTheStreamGoesOn resumes a stream elsewhere.
func TestTornEventIsDroppedBeforeTheStreamGoesOn(t *testing.T) {
	var e EventSplitter
	push(t, &e, "id: 1\ndata: a\n\nid: 2\nda")
	e.DiscardPartial()
	if got := push(t, &e, "id: 2\ndata: b\n\n"); got != "id: 2\ndata: b\n\n" || e.LastID() != "2" || e.HasPartialEvent() {
		t.Errorf("went on with %q, last %s, torn %v", got, e.LastID(), e.HasPartialEvent())
	}
}
