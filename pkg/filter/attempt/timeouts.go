package attempt

import "time"

// Limits of the timeouts of idempotent work.
const (
	// minSilenceTimeout is longer than the time between two heartbeats of an agent.
	minSilenceTimeout = 750 * time.Millisecond
	// minStatusTimeout is the shortest timeout of a status query.
	minStatusTimeout = 250 * time.Millisecond
	// timeoutDivisor limits one timeout to a quarter of the remaining time, so that two
	// timeouts leave half of the time for another upstream.
	timeoutDivisor = 4
)

// timeoutFor returns how long to wait for a silent agent. Work that is not idempotent
// can't be run elsewhere, so it waits for maxTimeout. Idempotent work waits for a
// fraction of its remaining time.
func timeoutFor(idempotent bool, maxTimeout, minTimeout, remaining time.Duration) time.Duration {
	if !idempotent {
		return maxTimeout
	}
	return min(maxTimeout, max(minTimeout, remaining/timeoutDivisor))
}

// silenceTimeout returns how long a stream may be silent.
func (j *job) silenceTimeout() time.Duration {
	return timeoutFor(j.request.Idempotent, j.cfg.SilenceTimeout, minSilenceTimeout, time.Until(j.request.Deadline))
}

// statusTimeout returns the timeout of a status query.
func (j *job) statusTimeout() time.Duration {
	return timeoutFor(j.request.Idempotent, j.cfg.StatusQueryTimeout, minStatusTimeout, time.Until(j.request.Deadline))
}
