package holdswitch_test

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// pauseBound is the longest pause of a stream that is on time.
const pauseBound = 120 * time.Millisecond

func (w *world) anyHeld() bool {
	for _, e := range w.engines {
		if e.state.Held != nil {
			return true
		}
	}
	return false
}

// TestATakeoverLetsAHeldPassGoSoon answers the pattern of a frozen coordinator: its host
// stands still just after it held a pass. The next coordinator has not heard it for long
// when it begins, so it lets the pass go without waiting for it again.
func TestATakeoverLetsAHeldPassGoSoon(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed)
		w.calm = true
		w.start(w.actors[0])
		for !w.anyHeld() {
			w.step()
			if w.now > faulty {
				t.Fatalf("seed %d: no pass was held", seed)
			}
		}
		const silence = 400 * time.Millisecond
		frozen := w.now
		w.actors[0].frozen = frozen + 4*time.Second
		for w.now < frozen+silence {
			w.step()
		}
		w.start(w.actors[1])
		w.actors[1].c.MarkUnreachable(0, w.time().Add(-silence))
		w.actors[1].c.SetFallbackMap(expertmap.RoundRobin(size))
		began := w.now
		for w.anyHeld() && w.now < began+time.Second {
			w.step()
		}
		if took := w.now - began; took > pauseBound {
			t.Errorf("seed %d: the pass was let go %v after the takeover", seed, took)
		}
	}
}
