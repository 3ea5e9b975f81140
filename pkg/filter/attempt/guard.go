package attempt

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// Guard keeps requests from upstreams that they would end.
type Guard interface {
	// Admit waits until it is known whether the next attempt of a request may be sent. It
	// returns the admission, or the refusal. previous is the admission of the request's
	// previous attempt, if there was one.
	Admit(ctx context.Context, r *pipe.Request, previous Pass) (Pass, error)
}

// Pass is the admission of one attempt.
type Pass interface {
	// Revoked returns a context that ends when the attempt must not be sent any more, or
	// must be ended. It does not end after the response has begun. Its cause may be the
	// refusal.
	Revoked() context.Context
	// RecordStart records that the attempt is sent to an upstream.
	RecordStart(u fleet.Upstream)
	// RecordPart records that a part of the response has arrived.
	RecordPart()
	// RecordEnd records that the attempt has ended. It must be called for each admission.
	RecordEnd(end End)
}

// End is how an attempt ended, as far as it tells about its upstream.
type End int

// Ends of attempts.
const (
	// EndUnsent means that the attempt was not sent.
	EndUnsent End = iota
	// EndOther means that the upstream responded, or that the caller or the entry ended
	// the attempt.
	EndOther
	// EndComplete means that the whole response has arrived.
	EndComplete
	// EndBroken means that the upstream broke the attempt off.
	EndBroken
	// EndUnreachable means that the upstream took no connection.
	EndUnreachable
	// EndReplaced means that another upstream has the address.
	EndReplaced
	// EndLost means that the upstream's agent found that the upstream has ended.
	EndLost
)

// revokedDetail is the detail of an attempt whose admission was revoked without a refusal.
const revokedDetail = "the attempt was ended because upstreams ended as other requests with a part of its prompt were to begin"

// revocationRefusal returns why an admission was revoked.
func revocationRefusal(p Pass) *api.Refusal {
	var cause *problem.Problem
	if errors.As(context.Cause(p.Revoked()), &cause) {
		return &api.Refusal{Reason: string(cause.Reason), Detail: cause.Detail}
	}
	return &api.Refusal{Reason: string(problem.ReasonPromptQuarantined), Detail: revokedDetail}
}

// noGuard is a Guard that admits all attempts.
type noGuard struct{}

func (noGuard) Admit(context.Context, *pipe.Request, Pass) (Pass, error) { return noPass{}, nil }

// noPass is an admission that is never revoked.
type noPass struct{}

func (noPass) Revoked() context.Context   { return context.Background() }
func (noPass) RecordStart(fleet.Upstream) {}
func (noPass) RecordPart()                {}
func (noPass) RecordEnd(End)              {}

var (
	_ Guard = noGuard{}
	_ Pass  = noPass{}
)

// guard returns the guard of attempts.
func (f *filter) guard() Guard {
	if f.cfg.Guard == nil {
		return noGuard{}
	}
	return f.cfg.Guard
}

func isRevoked(p Pass) bool { return p.Revoked().Err() != nil }

// withRevocation returns a context that also ends when an admission is revoked.
func withRevocation(ctx context.Context, p Pass) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.Revoked(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// endOf returns how an attempt with a result ended. An attempt that the entry or the caller
// has ended tells nothing about its upstream.
func (j *job) endOf(ctx context.Context, result Result) End {
	switch {
	case result.Event == retry.EventComplete:
		return EndComplete
	case ctx.Err() != nil || isRevoked(j.pass) || result.Refusal == nil:
		return EndOther
	case result.Refusal.UpstreamEnded:
		return EndLost
	}
	switch problem.Reason(result.Refusal.Reason) {
	case problem.ReasonUpstreamFailed:
		return EndBroken
	case problem.ReasonUpstreamUnreachable:
		return EndUnreachable
	case problem.ReasonWrongIncarnation:
		return EndReplaced
	default:
		return EndOther
	}
}
