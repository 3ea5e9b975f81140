package holdswitch_test

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// maxPause is the longest pause of a stream that still meets its deadline.
const maxPause = 120 * time.Millisecond

func (s *simulation) anyHeld() bool {
	for _, e := range s.engines {
		if e.state.Held != nil {
			return true
		}
	}
	return false
}

// The host of a coordinator freezes just after the coordinator has held a pass. The next
// coordinator starts after a period without messages from it and therefore releases the
// pass without waiting for UnreachableAfter again.
func TestTakeoverReleasesHeldPassPromptly(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(seed)
		s.faultFree = true
		s.startCoordinator(s.agents[0])
		for !s.anyHeld() {
			s.advance()
			if s.now > faultTime {
				t.Fatalf("seed %d: no pass was held", seed)
			}
		}
		const silence = 400 * time.Millisecond
		frozen := s.now
		s.agents[0].frozenUntil = frozen + 4*time.Second
		for s.now < frozen+silence {
			s.advance()
		}
		s.startCoordinator(s.agents[1])
		s.agents[1].coordinator.MarkUnreachable(0, s.time().Add(-silence))
		s.agents[1].coordinator.SetFallbackMap(expertmap.RoundRobin(size))
		tookOver := s.now
		for s.anyHeld() && s.now < tookOver+time.Second {
			s.advance()
		}
		if took := s.now - tookOver; took > maxPause {
			t.Errorf("seed %d: the pass was released too late, %v after the takeover", seed, took)
		}
	}
}
