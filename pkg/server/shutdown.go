package server

import "time"

// Shares of the time between SIGTERM and the end of the process.
const (
	// serveShare is the share of the time in which requests are still accepted. The load
	// balancer needs two readiness checks, a second apart, to direct callers to other
	// entries; by then most connections have been closed with their next response.
	serveShare = 0.4
	// stopShare is the share after which requests that still run are aborted. The rest is
	// left for the process to end.
	stopShare = 0.95
)

// ShutdownTimes returns how long a process with the given grace period still accepts
// requests, and after which time it aborts those that still run. The last accepted request
// has more than half of the grace period to finish.
func ShutdownTimes(grace time.Duration) (serveFor, stopAfter time.Duration) {
	return time.Duration(serveShare * float64(grace)), time.Duration(stopShare * float64(grace))
}
