package agent

import (
	"bytes"
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/claim"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// completeTimeout bounds the writing of a completed claim.
const completeTimeout = 5 * time.Second

// execute claims the key of work that is not idempotent, sends the request to
// the upstream, and records the answer.
func (a *Agent) execute(ctx context.Context, req *api.AttemptRequest, r *run) {
	handle, ok := a.claimKey(ctx, req, r)
	if !ok {
		return
	}
	if !a.dispatch(req) {
		a.releaseClaim(handle)
		r.refuse(api.OutcomeNotRun, problem.ReasonWithdrawn, "")
		return
	}
	var kept bytes.Buffer
	status, contentType, err := a.upstream.call(ctx, req, r, &kept)
	if err != nil {
		a.finish(req.RequestID, false)
		a.log.WithError(err).WithField("request", req.RequestID).Warn("upstream call failed")
		r.refuse(api.OutcomeUnknown, problem.ReasonUpstreamFailed, err.Error())
		return
	}
	if handle != nil {
		a.completeClaim(handle, claim.Answer{Status: status, ContentType: contentType, Body: kept.Bytes()})
	}
	a.finish(req.RequestID, true)
	r.complete()
}

// claimKey claims the idempotency key, if the request has one that matters. It
// reports false when the request must not be sent, and has then ended the run.
func (a *Agent) claimKey(ctx context.Context, req *api.AttemptRequest, r *run) (*claim.Handle, bool) {
	if req.Idempotent || req.IdempotencyKey == "" {
		return nil, true
	}
	key := claim.Key{Organisation: req.Organisation, Service: req.Service, Value: req.IdempotencyKey}
	verdict, handle := a.claims.Claim(ctx, key, claim.Claim{
		RequestID:   req.RequestID,
		Incarnation: a.incarnation,
		BodyHash:    claim.HashBody(req.Method, req.Path, req.Body),
		ClaimedAt:   time.Now(),
	})
	if verdict.Held {
		return handle, true
	}
	notRun := a.refuseAdmitted(req.RequestID)
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
	return nil, false
}

func (a *Agent) completeClaim(h *claim.Handle, answer claim.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	if err := a.claims.Complete(ctx, h, answer); err != nil {
		a.log.WithError(err).Warn("claim not completed")
	}
}

func (a *Agent) releaseClaim(h *claim.Handle) {
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	if err := a.claims.Release(ctx, h); err != nil {
		a.log.WithError(err).Warn("claim not released")
	}
}

func (a *Agent) dispatch(req *api.AttemptRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Dispatch(req.RequestID, time.UnixMilli(req.DeadlineUnixMilli), time.Now())
}

func (a *Agent) refuseAdmitted(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Refuse(id)
}

func (a *Agent) finish(id string, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Finish(id, known)
}
