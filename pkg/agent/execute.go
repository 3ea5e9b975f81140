package agent

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/admission"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/claim"
	"github.com/acaciaglade/acaciaglade/pkg/ledger"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// settleTime is how long the answer to work that is not idempotent is awaited
// after the deadline, so that a resend with the same key can be answered.
const settleTime = 30 * time.Second

// execute claims the key of work that is not idempotent, sends the request to
// the upstream, and records the answer.
func (a *Agent) execute(ctx context.Context, req *api.AttemptRequest, r *run) {
	handle, ok := a.claimKey(ctx, req, r)
	if !ok {
		return
	}
	if !a.dispatch(req) {
		a.settle(handle, a.claims.Release)
		r.refuse(api.OutcomeNotRun, problem.ReasonWithdrawn, "")
		return
	}
	ctx, cancel := context.WithDeadline(ctx, callDeadline(req))
	defer cancel()
	var kept bytes.Buffer
	status, contentType, err := a.upstream.call(ctx, req, &stepTimer{run: r, agent: a}, &kept)
	if err != nil {
		a.failed(ctx, req, r, handle, err)
		return
	}
	a.complete(handle, claim.Answer{Status: status, ContentType: contentType, Body: kept.Bytes()})
	a.finish(req, admission.ResultAnswered)
	r.complete()
}

// callDeadline returns when a call of the upstream is given up.
func callDeadline(req *api.AttemptRequest) time.Time {
	deadline := time.UnixMilli(req.DeadlineUnixMilli)
	if req.Idempotent {
		return deadline
	}
	return deadline.Add(settleTime)
}

// failed ends an attempt whose call of the upstream failed.
func (a *Agent) failed(ctx context.Context, req *api.AttemptRequest, r *run, handle *claim.Handle, err error) {
	a.log.WithError(err).WithField("request", req.RequestID).Warn("upstream call failed")
	if ctx.Err() == nil {
		a.broken()
	}
	switch {
	case errors.Is(err, errNotSent):
		a.notRun(req, r, handle, problem.ReasonUpstreamUnreachable)
	case errors.Is(err, errBusy):
		a.notRun(req, r, handle, problem.ReasonNoRoom)
	default:
		a.finish(req, admission.ResultUnknown)
		a.settle(handle, a.claims.MarkOutcomeUnknown)
		r.refuse(api.OutcomeUnknown, problem.ReasonUpstreamFailed, err.Error())
	}
}

// notRun ends an attempt that was dispatched and that the upstream did not begin.
func (a *Agent) notRun(req *api.AttemptRequest, r *run, handle *claim.Handle, reason problem.Reason) {
	a.finish(req, admission.ResultNotSent)
	a.settle(handle, a.claims.Release)
	r.refuse(api.OutcomeNotRun, reason, "")
}

// claimKey claims the idempotency key, if the request has one that matters. It
// reports false when the request must not be sent, and has then ended the run.
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
		BodyHash:    claim.HashBody(req.Method, req.Path, req.Body),
		ClaimedAt:   time.Now(),
		SettledBy:   deadline.Add(settleTime + a.cfg.ClockError),
	}
	verdict, handle := a.claims.Claim(ctx, key, mine)
	if verdict.Held {
		return handle, true
	}
	if verdict.Refusal != nil && verdict.Refusal.Reason == problem.ReasonClaimsUnavailable {
		a.retryWrite(func(ctx context.Context) error { return a.claims.Abandon(ctx, key, mine) })
	}
	a.claimRefused(req, r, verdict)
	return nil, false
}

// claimRefused ends an attempt that does not hold the claim of its key.
func (a *Agent) claimRefused(req *api.AttemptRequest, r *run, verdict claim.Result) {
	notRun := a.refuseAdmitted(req.RequestID, req.Attempt)
	switch {
	case verdict.Answer != nil:
		r.head(verdict.Answer.Status, verdict.Answer.ContentType)
		r.data(verdict.Answer.Body)
		r.complete()
	case notRun && verdict.Refusal.Ran == problem.RanNo:
		r.reject(verdict.Refusal.Reason, verdict.Refusal.Detail)
	default:
		r.refuse(api.OutcomeUnknown, verdict.Refusal.Reason, verdict.Refusal.Detail)
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

func (a *Agent) finish(req *api.AttemptRequest, e ledger.DispatchResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Finish(req.RequestID, req.Attempt, e)
}
