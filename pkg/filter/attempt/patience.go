package attempt

import "time"

// Bounds of the patience with idempotent work.
const (
	// shortestSilence is above the time between two heartbeats of an agent.
	shortestSilence = 750 * time.Millisecond
	// shortestAsk is the shortest wait for the state of a request.
	shortestAsk = 250 * time.Millisecond
	// patiencePart is the part of the time left that one wait may take, so that
	// two waits leave half of the time for another upstream.
	patiencePart = 4
)

// patience returns how long to wait for a silent agent. Work that is not
// idempotent can't be run elsewhere, so it waits for the longest time; idempotent
// work waits for a part of the time that its caller has left.
func patience(idempotent bool, longest, shortest, left time.Duration) time.Duration {
	if !idempotent {
		return longest
	}
	return min(longest, max(shortest, left/patiencePart))
}

// silence returns how long a stream may be silent.
func (j *job) silence() time.Duration {
	return patience(j.request.Idempotent, j.cfg.SilenceTimeout, shortestSilence, time.Until(j.request.Deadline))
}

// askTimeout returns how long to wait for the state of the request.
func (j *job) askTimeout() time.Duration {
	return patience(j.request.Idempotent, j.cfg.AskTimeout, shortestAsk, time.Until(j.request.Deadline))
}
