package attempt

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
)

// relay passes the frames of an answer on to the caller. It returns an error
// only when the caller is gone. Each frame restarts the silence timer.
func (j *job) relay(body io.Reader, silence *time.Timer) (retry.EventKind, error) {
	decoder := json.NewDecoder(body)
	for {
		var f api.Frame
		if err := decoder.Decode(&f); err != nil {
			return retry.Silent, nil
		}
		silence.Reset(j.silence())
		fresh, err := j.verifier.Accept(&f)
		if errors.Is(err, stream.ErrDiffers) {
			return retry.Differs, nil
		}
		if err != nil {
			return retry.Silent, nil
		}
		if f.Kind == api.FrameFinal {
			return j.final(&f), nil
		}
		if !fresh {
			continue
		}
		if err := j.pass(&f); err != nil {
			return retry.Silent, err
		}
	}
}

// pass passes one new frame on.
func (j *job) pass(f *api.Frame) error {
	r := j.request
	switch f.Kind {
	case api.FrameHead:
		j.fleet.Started(r.ID)
		return r.Reply.Head(f.Status, f.ContentType)
	case api.FrameData:
		r.Spent++
		if r.FirstPart.IsZero() {
			r.FirstPart = time.Now()
		}
		err := r.Reply.Data(f.Data)
		j.state.Progress(r.Reply.Relayed())
		return err
	default:
		return nil
	}
}

// final takes the end of an answer.
func (j *job) final(f *api.Frame) retry.EventKind {
	if f.Report != nil {
		j.fleet.Report(*f.Report)
	}
	j.refusal = f.Refusal
	if f.Outcome == api.OutcomeNotRun && f.Refusal != nil && f.Refusal.Permanent {
		return retry.Rejected
	}
	return outcomeEvent(f.Outcome)
}

func outcomeEvent(o api.Outcome) retry.EventKind {
	switch o {
	case api.OutcomeComplete:
		return retry.Complete
	case api.OutcomeNotRun:
		return retry.NotRun
	case api.OutcomeRunning:
		return retry.Running
	default:
		return retry.Unknown
	}
}

// askEvent is the event of an agent's answer to a question. An answer that is
// complete at the agent has still to be read to its end.
func (j *job) askEvent(o api.Outcome) retry.EventKind {
	switch o {
	case api.OutcomeComplete:
		return retry.Running
	case api.OutcomeNotRun:
		j.refusal = &api.Refusal{Reason: string(problem.ReasonWithdrawn)}
	}
	return outcomeEvent(o)
}

// sendEvent tells an attempt that was never sent from one that may have been.
func (j *job) sendEvent(err error) retry.EventKind {
	if errors.Is(err, peer.ErrNotSent) {
		j.refusal = &api.Refusal{Reason: string(problem.ReasonAgentUnreachable)}
		return retry.NotRun
	}
	return retry.Silent
}
