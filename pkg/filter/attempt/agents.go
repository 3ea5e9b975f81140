package attempt

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/relay"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// AgentTransport is a Transport that uses the agents beside the upstreams.
type AgentTransport struct{ agents *peer.AgentClient }

// NewAgentTransport returns a transport that calls agents through a client.
func NewAgentTransport(agents *peer.AgentClient) *AgentTransport {
	return &AgentTransport{agents: agents}
}

// Open implements Transport.
func (t *AgentTransport) Open(r *pipe.Request) Exchange {
	return &agentExchange{agents: t.agents, request: r}
}

// agentExchange is one request's exchange with agents.
type agentExchange struct {
	agents   *peer.AgentClient
	request  *pipe.Request
	verifier *stream.Verifier
	attempt  int
}

// startResponse prepares for a response that starts at its first frame. Data that has
// already reached the caller is verified and not relayed again.
func (x *agentExchange) startResponse() {
	if x.verifier != nil && x.request.Reply.HasStarted() {
		x.verifier.StartRerun()
		return
	}
	x.verifier = stream.NewVerifier(x.request.ID)
}

// Send implements Exchange.
func (x *agentExchange) Send(ctx context.Context, u fleet.Upstream, attempt int, sink Sink) Result {
	x.startResponse()
	x.attempt = attempt
	r := x.request
	body, err := x.agents.Attempt(ctx, u.Address, &api.AttemptRequest{
		RequestID:         r.ID,
		Attempt:           attempt,
		Incarnation:       u.Report.Incarnation,
		Organisation:      r.Organisation.Name,
		Weight:            r.Organisation.Weight,
		Entry:             u.Entry,
		Cost:              r.ExpectedCost,
		PromptCost:        r.PromptCost,
		VirtualTime:       u.VirtualTime,
		Service:           r.Service.Name,
		Model:             r.Service.Kind == table.KindModel,
		Priority:          r.Organisation.Priority,
		Idempotent:        r.Idempotent,
		IdempotencyKey:    r.IdempotencyKey,
		DeadlineUnixMilli: r.Deadline.UnixMilli(),
		SentUnixMilli:     time.Now().UnixMilli(),
		Method:            r.Method,
		Path:              upstreamPath(r),
		ContentType:       r.ContentType,
		Body:              r.Body,
	})
	if err != nil {
		return sendResult(err)
	}
	defer body.Close()
	return x.relay(body, sink)
}

// upstreamPath returns the path and query of the call to the upstream. The path is
// encoded, so that the upstream decodes it to the path that was routed.
func upstreamPath(r *pipe.Request) string {
	u := url.URL{Path: r.Path, RawQuery: r.Query}
	return u.RequestURI()
}

// sendResult distinguishes an attempt that was not sent from one that may have been.
func sendResult(err error) Result {
	if errors.Is(err, peer.ErrNotSent) {
		return Result{Event: retry.EventNotRun, Refusal: &api.Refusal{Reason: string(problem.ReasonAgentUnreachable)}}
	}
	return Result{Event: retry.EventSilent}
}

// Resume implements Exchange.
func (x *agentExchange) Resume(ctx context.Context, u fleet.Upstream, sink Sink) Result {
	body, err := x.agents.Resume(ctx, u.Address, x.request.ID, x.verifier.NextSeq())
	if err != nil {
		return Result{Event: retry.EventSilent}
	}
	defer body.Close()
	return x.relay(body, sink)
}

const (
	// statusTries is how often a status query is sent.
	statusTries = 3
	// statusRetryPause is the time between two tries.
	statusRetryPause = 100 * time.Millisecond
)

// QueryStatus implements Exchange. A failed query is repeated a few times, as the
// connection may have failed only briefly.
func (x *agentExchange) QueryStatus(ctx context.Context, u fleet.Upstream, attempt int) Result {
	for tries := 1; ; tries++ {
		outcome, err := x.agents.Withdraw(ctx, u.Address, &api.WithdrawRequest{
			RequestID:         x.request.ID,
			Attempt:           attempt,
			Incarnation:       u.Report.Incarnation,
			DeadlineUnixMilli: x.request.Deadline.UnixMilli(),
		})
		if err == nil {
			return statusResult(outcome)
		}
		if tries == statusTries || ctx.Err() != nil {
			return Result{Event: retry.EventUnknown}
		}
		time.Sleep(statusRetryPause)
	}
}

// Fork implements Exchange. An agent is queried instead.
func (*agentExchange) Fork() (Exchange, bool) { return nil, false }

// Abandon implements Exchange. Errors are ignored, as an agent that can't be notified
// detects the orphaned attempt itself.
func (x *agentExchange) Abandon(ctx context.Context, u fleet.Upstream, attempt int) {
	_ = x.agents.Cancel(ctx, u.Address, x.request.ID, attempt)
}

// maxFrameBytes limits a frame. The longest holds a stored response in base64.
const maxFrameBytes = 2 * objects.MaxValueBytes

// relay verifies the frames of a response and passes new ones to the sink.
func (x *agentExchange) relay(body io.Reader, sink Sink) Result {
	lines := stream.NewLineReader(body, maxFrameBytes)
	for {
		line, err := lines.Next()
		if err != nil {
			return Result{Event: retry.EventSilent}
		}
		var f api.Frame
		if err := json.Unmarshal(line, &f); err != nil {
			return Result{Event: retry.EventSilent}
		}
		sink.RecordActivity()
		fresh, err := x.verifier.Accept(&f)
		if errors.Is(err, stream.ErrRerunDiffers) {
			return Result{Event: retry.EventRerunDiffers}
		}
		if err != nil {
			return Result{Event: retry.EventSilent}
		}
		if f.Kind == api.FrameFinal {
			return finalResult(&f, sink)
		}
		if !fresh {
			continue
		}
		err = forward(&f, sink)
		if errors.Is(err, relay.ErrNotContinuation) {
			return notContinuedResult(f.Status)
		}
		if err != nil {
			return Result{Event: retry.EventSilent, Err: err}
		}
	}
}

// notContinuedResult returns the result of a response that can't continue the one that has
// begun.
func notContinuedResult(status int) Result {
	return Result{Event: retry.EventNotContinued, Refusal: &api.Refusal{
		Reason: string(problem.ReasonUpstreamError), Detail: fmt.Sprintf("status %d, after the response had begun", status),
	}}
}

// forward passes one new frame to the sink.
func forward(f *api.Frame, sink Sink) error {
	switch f.Kind {
	case api.FrameHeader:
		return sink.SetHeader(f.Status, http.Header{"Content-Type": {f.ContentType}})
	case api.FrameData:
		return sink.WriteData(f.Data)
	default:
		return nil
	}
}

// finalResult returns the result in a response's final frame.
func finalResult(f *api.Frame, sink Sink) Result {
	if f.Report != nil {
		sink.RecordReport(*f.Report)
	}
	result := Result{Event: outcomeEvent(f.Outcome), Refusal: f.Refusal}
	if f.Outcome == api.OutcomeNotRun && f.Refusal != nil && f.Refusal.Permanent {
		result.Event = retry.EventRejected
	}
	return result
}

func outcomeEvent(o api.Outcome) retry.Event {
	switch o {
	case api.OutcomeComplete:
		return retry.EventComplete
	case api.OutcomeNotRun:
		return retry.EventNotRun
	case api.OutcomeRunning:
		return retry.EventRunning
	default:
		return retry.EventUnknown
	}
}

// statusResult returns the result of a status query. A response that is complete at the
// agent still has to be read to its end.
func statusResult(o api.Outcome) Result {
	switch o {
	case api.OutcomeComplete:
		return Result{Event: retry.EventRunning}
	case api.OutcomeNotRun:
		return Result{Event: retry.EventNotRun, Refusal: &api.Refusal{Reason: string(problem.ReasonWithdrawn)}}
	}
	return Result{Event: outcomeEvent(o)}
}

var (
	_ Transport = (*AgentTransport)(nil)
	_ Exchange  = (*agentExchange)(nil)
)
