// Package claim makes work that is not idempotent run at most once, also when the
// caller resends it. The idempotency key is claimed by a conditional create in the
// object API (package objects) before dispatch, and the claim is completed with the
// response afterwards. When the create returns an error, the claim is read to find out
// whether it was written: request ID, attempt and agent incarnation identify its
// holder.
//
// A claim can be taken over after its holder released it, and by a later attempt of
// the holder's request: an entry sends a later attempt only when the earlier one can
// no longer run.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Kind is the kind of object that holds claims.
const Kind = "claims"

// MaxStoredBodyBytes is the largest response body that is stored for later resends.
const MaxStoredBodyBytes = 64 << 10

// Key identifies the work that a claim is for.
type Key struct {
	Organisation string
	Service      string
	Value        string
}

// ObjectName returns the name of the object that stores the key's claim.
func (k Key) ObjectName() string {
	sum := sha256.Sum256([]byte(k.Organisation + "\x00" + k.Service + "\x00" + k.Value))
	return hex.EncodeToString(sum[:])
}

// Response is a complete response.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Omitted is true when the body is larger than MaxStoredBodyBytes and not stored.
	Omitted bool `json:"omitted,omitempty"`
}

// Claim is the stored state of a key.
type Claim struct {
	// RequestID, Attempt and Incarnation identify the holder.
	RequestID   string `json:"request_id"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	// RequestHash is the hash of method, path and body; see HashRequest.
	RequestHash string `json:"body_hash"`
	// ClaimedAt is the time of the claim on the holder's clock.
	ClaimedAt time.Time `json:"claimed_at"`
	// SettledBy is the time after which the work has either ended or its outcome
	// remains unknown.
	SettledBy time.Time `json:"settled_by"`
	// OutcomeUnknown is true when the work was dispatched and its outcome is unknown.
	OutcomeUnknown bool `json:"lost,omitempty"`
	// Released is true when the holder did not run the work and never will.
	Released bool `json:"released,omitempty"`
	// Response is set once the work is complete.
	Response *Response `json:"answer,omitempty"`
}

// HashRequest returns the SHA-256 of a request in hexadecimal, which detects the reuse
// of a key for another request.
func HashRequest(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + " " + path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// heldBy reports whether two claims have the same holder.
func (c *Claim) heldBy(own *Claim) bool {
	return c.RequestID == own.RequestID && c.Attempt == own.Attempt && c.Incarnation == own.Incarnation
}

// Result is the result of an attempt to claim a key.
type Result struct {
	// Held is true when the caller holds the claim and may run the work.
	Held bool
	// CanTakeOver is true when the caller may replace the stored claim by its own.
	CanTakeOver bool
	// Response is the stored response of work that has already run.
	Response *Response
	// Refusal is set when the work must not be run now.
	Refusal *problem.Problem
}

// Evaluate returns the result of claiming a key when the store already holds a claim
// of it. It does no I/O.
func Evaluate(found, own Claim) Result {
	switch {
	case found.RequestHash != own.RequestHash:
		return Result{Refusal: problem.New(problem.ReasonKeyReused, "")}
	case found.Response != nil && found.Response.Omitted:
		return Result{Refusal: problem.New(problem.ReasonAnswerNotKept, "run by request "+found.RequestID)}
	case found.Response != nil:
		return Result{Response: found.Response}
	case found.Released:
		return Result{CanTakeOver: true}
	case found.heldBy(&own):
		return Result{Held: true}
	case found.RequestID == own.RequestID && found.Attempt < own.Attempt:
		return Result{CanTakeOver: true}
	case found.OutcomeUnknown || found.SettledBy.Before(own.ClaimedAt):
		return Result{Refusal: problem.New(problem.ReasonOutcomeUnknown, "sent by request "+found.RequestID)}
	default:
		return Result{Refusal: problem.New(problem.ReasonKeyInUse, "claimed by request "+found.RequestID)}
	}
}

// Registry claims idempotency keys in an object store.
type Registry struct {
	store objects.Store
}

// NewRegistry returns a registry in a store.
func NewRegistry(store objects.Store) *Registry { return &Registry{store: store} }

// Handle is a held claim.
type Handle struct {
	name    string
	version string
	claim   Claim
}

// maxTries is the highest number of conditional updates in one call.
const maxTries = 3

// Claim tries to claim a key. When it refuses with problem.ReasonClaimsUnavailable,
// the claim may still be written later; the caller must then retry Abandon until it
// succeeds.
func (r *Registry) Claim(ctx context.Context, key Key, own Claim) (Result, *Handle) {
	name := key.ObjectName()
	written, err := r.store.Create(ctx, Kind, name, own)
	for range maxTries {
		if err == nil {
			return Result{Held: true}, &Handle{name: name, version: written.Metadata.ResourceVersion, claim: own}
		}
		found, version, readErr := r.read(ctx, name)
		if readErr != nil {
			err = readErr
			break
		}
		result := Evaluate(found, own)
		if result.Held {
			return result, &Handle{name: name, version: version, claim: own}
		}
		if !result.CanTakeOver {
			return result, nil
		}
		written, err = r.store.Update(ctx, Kind, name, version, own)
	}
	return Result{Refusal: problem.New(problem.ReasonClaimsUnavailable, errorText(err))}, nil
}

// errorText describes why the tries of Claim failed. err is nil if the last update
// succeeded: Claim refuses nevertheless, and the caller abandons the claim.
func errorText(err error) string {
	if err == nil {
		return "the key is claimed by turns"
	}
	return err.Error()
}

// Complete stores the response of the claimed work.
func (r *Registry) Complete(ctx context.Context, h *Handle, response Response) error {
	if len(response.Body) > MaxStoredBodyBytes {
		response = Response{Status: response.Status, ContentType: response.ContentType, Omitted: true}
	}
	h.claim.Response = &response
	return r.write(ctx, h)
}

// MarkOutcomeUnknown records that the outcome of the claimed work is unknown.
func (r *Registry) MarkOutcomeUnknown(ctx context.Context, h *Handle) error {
	h.claim.OutcomeUnknown = true
	return r.write(ctx, h)
}

// Release releases the key when the work did not run and never will.
func (r *Registry) Release(ctx context.Context, h *Handle) error {
	h.claim.Released = true
	return r.write(ctx, h)
}

// Abandon releases the claim of an attempt that was refused because the store did
// not respond, if the claim was written. The attempt must never run.
func (r *Registry) Abandon(ctx context.Context, key Key, own Claim) error {
	found, version, err := r.read(ctx, key.ObjectName())
	if errors.Is(err, objects.ErrNotFound) || err == nil && !found.heldBy(&own) {
		return nil
	}
	if err != nil {
		return err
	}
	return r.Release(ctx, &Handle{name: key.ObjectName(), version: version, claim: own})
}

// write updates a held claim. After an error it reads the claim again: the update
// may have taken effect, or the handle's version may be outdated because the response
// to an earlier write was lost.
func (r *Registry) write(ctx context.Context, h *Handle) error {
	var err error
	for range maxTries {
		if _, err = r.store.Update(ctx, Kind, h.name, h.version, h.claim); err == nil {
			return nil
		}
		found, version, readErr := r.read(ctx, h.name)
		if readErr != nil {
			return errors.Wrap(readErr, "claim not updated; resends are refused because the key is in use")
		}
		if !found.heldBy(&h.claim) || found.Released || found.OutcomeUnknown || found.Response != nil {
			return nil
		}
		h.version = version
	}
	return errors.Wrap(err, "claim not updated; resends are refused because the key is in use")
}

func (r *Registry) read(ctx context.Context, name string) (Claim, string, error) {
	o, err := r.store.Get(ctx, Kind, name)
	if err != nil {
		return Claim{}, "", err
	}
	var found Claim
	if err := json.Unmarshal(o.Spec, &found); err != nil {
		return Claim{}, "", errors.Wrap(err, "claim can't be read; ask an operator to remove it")
	}
	return found, o.Metadata.ResourceVersion, nil
}
