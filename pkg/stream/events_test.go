package stream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

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
		var e Events
		out := ""
		for _, cut := range cuts {
			size := min(cut, len(raw))
			out += string(e.Push([]byte(raw[:size])))
			raw = raw[size:]
		}
		out += string(e.Push([]byte(raw)))
		last := ""
		if n > 0 {
			last = fmt.Sprint(n)
		}
		return out == all.String()[:whole] && e.LastID() == last && e.Torn() == (torn > 0)
	}, gen.IntRange(0, 6), gen.SliceOf(gen.IntRange(1, 9)), gen.IntRange(0, 12)))
	properties.TestingRun(t)
}

// TestTornEventIsDroppedBeforeTheStreamGoesOn resumes a stream elsewhere.
func TestTornEventIsDroppedBeforeTheStreamGoesOn(t *testing.T) {
	var e Events
	e.Push([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	e.Drop()
	if got := string(e.Push([]byte("id: 2\ndata: b\n\n"))); got != "id: 2\ndata: b\n\n" || e.LastID() != "2" || e.Torn() {
		t.Errorf("went on with %q, last %s, torn %v", got, e.LastID(), e.Torn())
	}
}
