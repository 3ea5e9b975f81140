package attempt

import (
	"context"
	"net/http"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// Transport carries attempts to upstreams.
type Transport interface {
	// Open starts the exchange of one request.
	Open(r *pipe.Request) Exchange
}

// Exchange carries the attempts of one request, one after the other.
type Exchange interface {
	// Send runs an attempt and passes the parts of its response to the sink. It
	// returns when the response has ended or was aborted, or when ctx has ended.
	Send(ctx context.Context, u fleet.Upstream, attempt int, sink Sink) Result
	// Resume continues to read the response of the latest attempt from where it
	// stopped, on a new connection to the same upstream.
	Resume(ctx context.Context, u fleet.Upstream, sink Sink) Result
	// QueryStatus queries the upstream or its agent for the state of an attempt. An
	// attempt that it reports as not run never starts.
	QueryStatus(ctx context.Context, u fleet.Upstream, attempt int) Result
	// Fork returns an exchange for a second attempt, whose response continues after the parts
	// that this exchange has passed on, and that may run beside it. It returns false if no
	// other response can continue them. It may be called while Send runs.
	Fork() (Exchange, bool)
	// Abandon notifies the upstream or its agent that the response of an attempt is no
	// longer needed.
	Abandon(ctx context.Context, u fleet.Upstream, attempt int)
}

// Result is the result of a step of an exchange.
type Result struct {
	Event retry.Event
	// Refusal is why the upstream or its agent did not run the attempt or does not know
	// its outcome, nil if no reason was returned.
	Refusal *api.Refusal
	// WithoutLength is true if the response has neither a length nor chunks, so that only the
	// end of its connection ends it.
	WithoutLength bool
	// Err is set if writing to the caller failed. Event is not used in this case.
	Err error
}

// Sink receives a response as it arrives. Its methods return an error if writing to the
// caller failed.
type Sink interface {
	// RecordActivity records that data has arrived from the upstream or its agent.
	RecordActivity()
	// SetHeader sets the status and the header of the response. It returns
	// relay.ErrNotContinuation if the response can't continue the one that has begun; no
	// part of it may be written then.
	SetHeader(status int, header http.Header) error
	// WriteData writes the next part of the response.
	WriteData(part []byte) error
	// HasStarted reports whether a part of the response has reached the caller, of whichever
	// attempt.
	HasStarted() bool
	// RecordReport records a report of the upstream's agent.
	RecordReport(r api.Report)
}
