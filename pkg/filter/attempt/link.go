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
	// Open begins the exchange of one request.
	Open(r *pipe.Request) Exchange
}

// Exchange carries the attempts of one request, one after the other.
type Exchange interface {
	// Send runs an attempt and hands the parts of its answer to the sink. It
	// returns when the answer has ended, broken off, or ctx has ended.
	Send(ctx context.Context, u fleet.Upstream, attempt int, sink Sink) Result
	// Resume reads the answer of the latest attempt on from where it stopped, on
	// a new connection to the same upstream.
	Resume(ctx context.Context, u fleet.Upstream, sink Sink) Result
	// QueryStatus asks the upstream's side what became of an attempt, and makes sure that
	// one that has not started never will.
	QueryStatus(ctx context.Context, u fleet.Upstream, attempt int) Result
	// Abandon tells the upstream's side that nobody waits for an attempt any more.
	Abandon(ctx context.Context, u fleet.Upstream, attempt int)
}

// Result is how a step of an exchange ended.
type Result struct {
	Event retry.Event
	// Refusal is why the upstream's side did not run the attempt or lost it, nil
	// when it gave no reason.
	Refusal *api.Refusal
	// Err is set when the caller's end failed. Event is then without meaning.
	Err error
}

// Sink takes an answer as it arrives. An error means that the caller's end
// failed.
type Sink interface {
	// RecordActivity records that the upstream's side has shown a sign of life.
	RecordActivity()
	// SetHeader takes the status and the header of the answer.
	SetHeader(status int, header http.Header) error
	// WriteData takes the next part of the answer.
	WriteData(part []byte) error
	// RecordReport takes a report of the upstream's agent.
	RecordReport(r api.Report)
}
