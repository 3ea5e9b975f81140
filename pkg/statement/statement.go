package statement

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// MaxPause is the longest pause. An upstream that wants a longer one by mistake is used again
// after this time.
const MaxPause = 10 * time.Minute

// Statement is what one response of an upstream states about the upstream itself.
type Statement struct {
	sendlimit.Key
	Service string
	// SentAt is when the request was sent, ReceivedAt when the response arrived.
	SentAt, ReceivedAt time.Time
	// Leaving is true if the upstream will end and wants no more requests.
	Leaving bool
	// Pause is the time for which the upstream wants no requests of this entry, 0 for none.
	Pause time.Duration
	Limit Limit
}

// Limit is what a response states about the limit of its upstream.
type Limit struct {
	// Valid is false if the statement can't be decoded. It then has no effect.
	Valid bool
	// Named is true if the response names a limit.
	Named bool
	// Rate is the limit in requests per second over all entries.
	Rate float64
}

// Change is what a statement has changed.
type Change struct {
	// Leaving is true if the upstream was not known to be leaving before.
	Leaving bool
	// Paused is true if a pause has begun or is longer now. Began is true if the upstream was
	// used without restriction before.
	Paused, Began bool
	// Resumed is true if the upstream is used without restriction again.
	Resumed bool
}
