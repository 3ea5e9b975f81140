package agent

import (
	"bytes"
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/admission"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/claim"
	"github.com/acaciaglade/acaciaglade/pkg/ledger"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// settleTime is how long the agent waits after the deadline for the response to work
// that is not idempotent, so that a resend with the same key can get this response.
const settleTime = 30 * time.Second

// execute claims the key of work that is not idempotent, sends the request to
// the upstream, and records the response.
func (a *Agent) execute(ctx context.Context, req *api.AttemptRequest, r *run) {
	handle, ok := a.claimKey(ctx, req, r)
	if !ok {
		return
	}
	if !a.dispatch(req) {
		a.settleClaim(handle, a.claims.Release)
		r.refuse(api.OutcomeNotRun, problem.ReasonWithdrawn, "")
		return
	}
	ctx, cancel := context.WithDeadline(ctx, callDeadline(req))
	defer cancel()
	var body *bytes.Buffer
	if handle != nil {
		body = &bytes.Buffer{}
	}
	status, contentType, err := a.upstream.call(ctx, req, &stepTimer{run: r, agent: a}, body)
	if err != nil {
		a.handleCallFailure(ctx, req, r, handle, err)
		return
	}
	if body != nil {
		a.completeClaim(handle, claim.Response{Status: status, ContentType: contentType, Body: body.Bytes()})
	}
	a.recordResult(req, admission.ResultAnswered)
	r.complete()
}

// callDeadline returns when a call of the upstream times out.
func callDeadline(req *api.AttemptRequest) time.Time {
	deadline := time.UnixMilli(req.DeadlineUnixMilli)
	if req.Idempotent {
		return deadline
	}
	return deadline.Add(settleTime)
}

// handleCallFailure ends an attempt whose call of the upstream has failed.
func (a *Agent) handleCallFailure(ctx context.Context, req *api.AttemptRequest, r *run, handle *claim.Handle, err error) {
	a.log.WithError(err).WithField("request", req.RequestID).Warn("upstream call failed")
	// A call that was cancelled or timed out does not show that the upstream restarted.
	if ctx.Err() == nil {
		a.recordBrokenCall()
	}
	switch {
	case errors.Is(err, errNotSent):
		a.endNotRun(req, r, handle, problem.ReasonUpstreamUnreachable)
	case errors.Is(err, errBusy):
		a.endNotRun(req, r, handle, problem.ReasonNoRoom)
	default:
		a.recordResult(req, admission.ResultUnknown)
		a.settleClaim(handle, a.claims.MarkOutcomeUnknown)
		ended := ctx.Err() == nil && a.checkUpstreamEnded(ctx)
		r.end(api.Frame{Outcome: api.OutcomeUnknown, Refusal: &api.Refusal{
			Reason: string(problem.ReasonUpstreamFailed), Detail: err.Error(), UpstreamEnded: ended,
		}})
	}
}

// checkUpstreamEnded finds out whether the upstream has ended, after a call of it broke off.
// If so, the agent reports at once that it is not ready, so that no entry sends another
// attempt here.
func (a *Agent) checkUpstreamEnded(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.SampleInterval)
	defer cancel()
	load, err := a.upstream.readLoadAfterReset(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.gate.UpstreamIncarnation()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused && (err != nil || last == "" || load.Incarnation == last) {
		return false
	}
	a.gate.SetUnreachable()
	a.processQueue()
	return true
}

// endNotRun ends an attempt that was dispatched but that the upstream did not start.
func (a *Agent) endNotRun(req *api.AttemptRequest, r *run, handle *claim.Handle, reason problem.Reason) {
	a.recordResult(req, admission.ResultNotRun)
	a.settleClaim(handle, a.claims.Release)
	r.refuse(api.OutcomeNotRun, reason, "")
}

// claimKey claims the idempotency key of work that is not idempotent, if it has one.
// It reports false if the request must not be sent, and has then ended the run.
func (a *Agent) claimKey(ctx context.Context, req *api.AttemptRequest, r *run) (*claim.Handle, bool) {
	if req.Idempotent || req.IdempotencyKey == "" {
		return nil, true
	}
	deadline := time.UnixMilli(req.DeadlineUnixMilli)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	key := claim.Key{Organisation: req.Organisation, Service: req.Service, Value: req.IdempotencyKey}
	mine := claim.Claim{
		RequestID:   req.RequestID,
		Attempt:     req.Attempt,
		Incarnation: a.incarnation,
		RequestHash: claim.HashRequest(req.Method, req.Path, req.Body),
		ClaimedAt:   time.Now(),
		SettledBy:   deadline.Add(settleTime + a.cfg.ClockError),
	}
	result, handle := a.claims.Claim(ctx, key, mine)
	if result.Held {
		return handle, true
	}
	if result.Refusal != nil && result.Refusal.Reason == problem.ReasonClaimsUnavailable {
		a.retryWrite(func(ctx context.Context) error { return a.claims.Abandon(ctx, key, mine) })
	}
	a.endUnclaimed(req, r, result)
	return nil, false
}

// endUnclaimed ends an attempt that does not hold the claim of its key, with the stored
// response or with a refusal.
func (a *Agent) endUnclaimed(req *api.AttemptRequest, r *run, result claim.Result) {
	notRun := a.refuseAdmitted(req.RequestID, req.Attempt)
	switch {
	case result.Response != nil:
		r.setHeader(result.Response.Status, result.Response.ContentType)
		if err := a.keepData(r, result.Response.Body); err != nil {
			r.refuse(api.OutcomeUnknown, problem.ReasonUpstreamFailed, err.Error())
			return
		}
		r.complete()
	case notRun && result.Refusal.Ran == problem.RanNo:
		r.reject(result.Refusal.Reason, result.Refusal.Detail)
	default:
		r.refuse(api.OutcomeUnknown, result.Refusal.Reason, result.Refusal.Detail)
	}
}

func (a *Agent) dispatch(req *api.AttemptRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Dispatch(req.RequestID, req.Attempt, time.Now())
}

func (a *Agent) refuseAdmitted(id string, attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.RefuseAdmitted(id, attempt)
}

func (a *Agent) recordResult(req *api.AttemptRequest, result ledger.DispatchResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Finish(req.RequestID, req.Attempt, result)
}
