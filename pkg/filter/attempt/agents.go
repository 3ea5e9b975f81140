package attempt

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// AgentTransport is a Transport through the agents beside the upstreams.
type AgentTransport struct{ agents *peer.AgentClient }

// NewAgentTransport returns a link that calls agents with a client.
func NewAgentTransport(agents *peer.AgentClient) *AgentTransport {
	return &AgentTransport{agents: agents}
}

// Open implements Transport.
func (l *AgentTransport) Open(r *pipe.Request) Exchange {
	return &agentExchange{agents: l.agents, request: r}
}

// agentExchange is one request's exchange with agents.
type agentExchange struct {
	agents   *peer.AgentClient
	request  *pipe.Request
	verifier *stream.Verifier
	attempt  int
}

// begin prepares for an answer that begins at its first frame. What the caller
// already has is not relayed again.
func (x *agentExchange) begin() {
	if x.verifier != nil && x.request.Reply.HasStarted() {
		x.verifier.StartRerun()
		return
	}
	x.verifier = stream.NewVerifier(x.request.ID)
}

// Send implements Exchange.
func (x *agentExchange) Send(ctx context.Context, u fleet.Upstream, attempt int, sink Sink) Result {
	x.begin()
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
		Virtual:           u.VirtualTime,
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

// upstreamPath returns the path and query of the upstream's call. The path is
// encoded, so that the upstream decodes it to the one that was judged.
func upstreamPath(r *pipe.Request) string {
	u := url.URL{Path: r.Path, RawQuery: r.Query}
	return u.RequestURI()
}

// sendResult tells an attempt that was never sent from one that may have been.
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
	// askTries is how often the state of a request is asked for.
	askTries = 3
	// askPause is the time between two tries.
	askPause = 100 * time.Millisecond
)

// QueryStatus implements Exchange. A question that failed is repeated a few times, as the
// connection may have broken for a moment only.
func (x *agentExchange) QueryStatus(ctx context.Context, u fleet.Upstream, attempt int) Result {
	for try := 1; ; try++ {
		outcome, err := x.agents.Withdraw(ctx, u.Address, &api.WithdrawRequest{
			RequestID:         x.request.ID,
			Attempt:           attempt,
			Incarnation:       u.Report.Incarnation,
			DeadlineUnixMilli: x.request.Deadline.UnixMilli(),
		})
		if err == nil {
			return askResult(outcome)
		}
		if try == askTries || ctx.Err() != nil {
			return Result{Event: retry.EventUnknown}
		}
		time.Sleep(askPause)
	}
}

// Abandon implements Exchange. The agent notices by itself when it can't be told.
func (x *agentExchange) Abandon(ctx context.Context, u fleet.Upstream, attempt int) {
	_ = x.agents.Cancel(ctx, u.Address, x.request.ID, attempt)
}

// relay hands the frames of an answer to the sink.
func (x *agentExchange) relay(body io.Reader, sink Sink) Result {
	decoder := json.NewDecoder(body)
	for {
		var f api.Frame
		if err := decoder.Decode(&f); err != nil {
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
		if err := pass(&f, sink); err != nil {
			return Result{Event: retry.EventSilent, Err: err}
		}
	}
}

// pass passes one new frame on.
func pass(f *api.Frame, sink Sink) error {
	switch f.Kind {
	case api.FrameHead:
		return sink.SetHeader(f.Status, http.Header{"Content-Type": {f.ContentType}})
	case api.FrameData:
		return sink.WriteData(f.Data)
	default:
		return nil
	}
}

// finalResult is the result of an answer's last frame.
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

// askResult is the result of an agent's answer to a question. An answer that is
// complete at the agent has still to be read to its end.
func askResult(o api.Outcome) Result {
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
