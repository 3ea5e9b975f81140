package dispatch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/recent"
)

// Upstream is what the platform says of one upstream.
type Upstream struct {
	// ID names one incarnation's registration, Address is its host and port.
	ID      string
	Address string
	Service string
	// FailureDomain is where the upstream stands.
	FailureDomain string
	// Incarnation is fresh at each start of the upstream.
	Incarnation string
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Agent is the address of the agent beside a rank.
	Agent string
	// Leaving is true once the upstream must get no new request.
	Leaving bool
	// Group is set when the upstream is a rank of a group.
	Group Group
}

// Group is a rank's place in its group.
type Group struct {
	// Name is empty for an upstream that is no rank.
	Name  string
	Epoch uint64
	Rank  int
	Size  int
	// Open is false while the group runs nothing.
	Open bool
}

// GroupState is what the listed ranks of a group say of it together.
type GroupState struct {
	// Epoch is the newest one, Ranks how many ranks are listed in it.
	Epoch uint64
	Ranks int
	// Open is true when all of these say that the group is open. Ranks that have ended
	// stay listed for seconds as they were, so one that says otherwise outweighs them.
	Open bool
}

// GroupStates returns the states of the groups that are listed.
func GroupStates(list []Upstream) map[string]GroupState {
	out := make(map[string]GroupState)
	for _, u := range list {
		g := u.Group
		if g.Name == "" {
			continue
		}
		state, ok := out[g.Name]
		switch {
		case !ok || g.Epoch > state.Epoch:
			state = GroupState{Epoch: g.Epoch, Ranks: 1, Open: g.Open}
		case g.Epoch == state.Epoch:
			state.Ranks++
			state.Open = state.Open && g.Open
		}
		out[g.Name] = state
	}
	return out
}

// Failure is how an attempt at an upstream went wrong.
type Failure int

// Failures of attempts.
const (
	// FailureNone means that the upstream answered as it should.
	FailureNone Failure = iota
	// FailureFull means that the upstream refused the request for want of room.
	FailureFull
	// FailureStalled means that the upstream's group has stopped.
	FailureStalled
	// FailureReplaced means that another upstream has the address.
	FailureReplaced
	// FailureUnreachable means that no connection was made.
	FailureUnreachable
	// FailureBroken means that the answer broke off, never came, or was not one.
	FailureBroken
	// FailureError means that the upstream answered with an error of its own.
	FailureError
	// FailureSlow means that the request went on elsewhere, as the upstream is slow.
	FailureSlow
)

// Bounds of the time for which a failing upstream is passed over.
const (
	// avoidFirst follows a first failure; each further one doubles it.
	avoidFirst = 250 * time.Millisecond
	// avoidMost is the longest, so that a repaired upstream is soon used again.
	avoidMost = 4 * time.Second
	// avoidFull follows a refusal for want of room; a request takes about as long.
	avoidFull = 50 * time.Millisecond
)

// candidate is one upstream with what this entry has seen of it.
type candidate struct {
	Upstream
	out bool
	// open is false while the candidate's group runs nothing.
	open bool
	own  own
	// others is how many attempts of other entries were there at othersAt.
	others   int
	othersAt time.Time
	// pace is above 1 while the upstream is known to be slow, paceAt when it was told.
	pace       float64
	paceAt     time.Time
	avoidUntil time.Time
	failures   int
	// sends are the attempts of the last span.
	sends recent.Counter
}

// usable reports whether the candidate takes requests at all.
func (c *candidate) usable() bool { return !c.out && !c.Leaving }

// failed records the end of an attempt.
func (c *candidate) failed(f Failure, now time.Time) {
	switch f {
	case FailureNone, FailureStalled:
		c.failures = 0
	case FailureFull:
		c.avoidUntil = later(c.avoidUntil, now.Add(avoidFull))
	case FailureReplaced:
		c.Leaving = true
	case FailureError, FailureSlow:
	default:
		c.avoidUntil = later(c.avoidUntil, now.Add(min(avoidMost, avoidFirst<<min(c.failures, 8))))
		c.failures++
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// windowLength is the span in which sends are counted: the second that the platform's
// bound of cold upstreams names, and a tenth for what arrives closer together than it was
// sent. Any upstream may turn cold at any moment, so the bound holds for all.
const windowLength = 1100 * time.Millisecond

// allows reports whether one more send keeps to a rate per span. A rate below 1
// spreads sends over several spans.
func allows(sends *recent.Counter, rate float64, now time.Time) bool {
	last := sends.Last()
	if rate >= 1 || last.IsZero() {
		return float64(sends.Count(now)+1) <= max(1, rate)
	}
	return now.Sub(last) > time.Duration(float64(windowLength)/rate)
}
