package dispatch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/recent"
	"github.com/acaciaglade/acaciaglade/pkg/statement"
)

// Upstream describes one upstream as the platform lists it.
type Upstream struct {
	// ID identifies the registration of one incarnation. Address is its host and port.
	ID      string
	Address string
	Service string
	// FailureDomain is the failure domain that the upstream runs in.
	FailureDomain string
	// Incarnation is new at each start of the upstream.
	Incarnation string
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Agent is the address of the agent beside a rank.
	Agent string
	// Draining is true while the upstream drains and must get no new requests.
	Draining bool
	// Group is set if the upstream is a rank of a group.
	Group Group
}

// Group describes a rank's membership in its group.
type Group struct {
	// Name is empty for an upstream that is not a rank of a group.
	Name  string
	Epoch uint64
	Rank  int
	Size  int
	// Open is false while the group accepts no work.
	Open bool
}

// GroupState is the state of a group, derived from all its listed ranks.
type GroupState struct {
	// Epoch is the newest listed epoch, Ranks the number of ranks listed in it.
	Epoch uint64
	Ranks int
	// Open is true if all of these ranks list the group as open. Ranks that have ended
	// stay listed unchanged for seconds, so a single rank that lists the group as closed
	// takes precedence.
	Open bool
}

// GroupStates returns the states of the listed groups by name.
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

// Failure classifies the end of an attempt at an upstream.
type Failure int

// Failures of attempts.
const (
	// FailureNone means that the upstream returned a valid response.
	FailureNone Failure = iota
	// FailureFull means that the upstream refused the request for lack of capacity.
	FailureFull
	// FailureStalled means that the upstream's group has stopped.
	FailureStalled
	// FailureReplaced means that another upstream now has the address.
	FailureReplaced
	// FailureUnreachable means that no connection could be opened.
	FailureUnreachable
	// FailureBroken means that the response was aborted, missing or invalid.
	FailureBroken
	// FailureError means that the upstream returned an error of its own.
	FailureError
	// FailureSlow means that the request was moved because the upstream is slow or
	// unresponsive.
	FailureSlow
)

// Times for which a failing upstream gets no requests.
const (
	// minAvoidTime applies after the first failure; each further one doubles it.
	minAvoidTime = 250 * time.Millisecond
	// maxAvoidTime limits the time, so that a recovered upstream is soon used again.
	maxAvoidTime = 4 * time.Second
	// fullAvoidTime applies after a refusal for lack of capacity. It is about the
	// duration of a request.
	fullAvoidTime = 50 * time.Millisecond
)

// candidate is an upstream with the state that this entry has observed.
type candidate struct {
	Upstream
	outOfService bool
	// groupOpen is false while the candidate's group accepts no work.
	groupOpen   bool
	ownAttempts ownAttempts
	// otherAttempts is the number of attempts of other entries at otherAttemptsAt.
	otherAttempts   int
	otherAttemptsAt time.Time
	// slowdown is above 1 while the upstream is slow, as reported at slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	avoidUntil time.Time
	// unresponsive is true from unresponsiveAt until the upstream responds again. It gets no
	// request before nextTrial.
	unresponsive   bool
	unresponsiveAt time.Time
	nextTrial      time.Time
	// lastPartOnClock is the time of its group's passClock at the latest part of a response.
	lastPartOnClock     time.Duration
	consecutiveFailures int
	// drainingSince is when Draining became true, drainingSource why. They are not set if the
	// candidate has stated it.
	drainingSince  time.Time
	drainingSource statement.Source
	// pausedUntil is the end of the candidate's latest pause, zero if it has none or has
	// resumed since.
	pausedUntil time.Time
	// recentSends counts the attempts within the last sendWindow.
	recentSends recent.Counter
}

// isUsable reports whether the candidate is in service and not draining.
func (c *candidate) isUsable() bool { return !c.outOfService && !c.Draining }

// recordResult records the end of an attempt and how long to avoid the candidate.
func (c *candidate) recordResult(f Failure, now time.Time) {
	switch f {
	case FailureNone, FailureStalled:
		c.consecutiveFailures = 0
	case FailureFull:
		c.avoidUntil = latest(c.avoidUntil, now.Add(fullAvoidTime))
	case FailureReplaced:
		// The upstream has ended and only stays listed for a while.
		c.recordDraining(statement.SourceAddress, now)
	case FailureError, FailureSlow:
	default:
		c.avoidUntil = latest(c.avoidUntil, now.Add(min(maxAvoidTime, minAvoidTime<<min(c.consecutiveFailures, 8))))
		c.consecutiveFailures++
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendWindow is the window in which sends are counted: the second for which the platform
// limits requests to cold upstreams, and a tenth more for requests that arrive closer
// together than they were sent. Any upstream may turn cold at any moment, so the limit
// applies to all.
const sendWindow = 1100 * time.Millisecond

// allowsSend reports whether one more send keeps to the limit of rate sends in each
// sendWindow. A rate below 1 allows one send in 1/rate windows.
func allowsSend(sends *recent.Counter, rate float64, now time.Time) bool {
	last := sends.Last()
	if rate >= 1 || last.IsZero() {
		return float64(sends.Count(now)+1) <= max(1, rate)
	}
	return now.Sub(last) > time.Duration(float64(sendWindow)/rate)
}
