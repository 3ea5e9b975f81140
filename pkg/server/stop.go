package server

import "time"

// Parts of the time between the order to stop and the end of the process.
const (
	// servePart is how long requests are still taken: the balancer needs two questions
	// a second apart to send callers elsewhere, and most connections have been closed
	// with their next answer by then.
	servePart = 0.4
	// endPart is when the last request is given up. The rest is for ending.
	endPart = 0.95
)

// ShutdownTimes returns how long a process that must end within a time still takes
// requests, and after which time it gives up those that run. A request that is taken
// last has more than half of the time to be answered.
func ShutdownTimes(grace time.Duration) (serve, end time.Duration) {
	return time.Duration(servePart * float64(grace)), time.Duration(endPart * float64(grace))
}
