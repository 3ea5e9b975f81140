// Package claim makes a caller's resend of work that is not idempotent run at
// most once. The idempotency key is claimed by a conditional create in the
// object API before dispatch, and completed with the answer afterwards. A claim
// whose create was answered by an error is read again and recognised as one's
// own by its request ID, attempt and agent incarnation.
//
// A claim is taken over when its holder released it, and by a later attempt of
// the holder's own request: an entry sends one only once the earlier attempt can
// never run.
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

// MaxAnswerBytes is the largest answer kept for later resends.
const MaxAnswerBytes = 64 << 10

// Key names the work that a claim is for.
type Key struct {
	Organisation string
	Service      string
	Value        string
}

// ObjectName returns the name of the key's object.
func (k Key) ObjectName() string {
	sum := sha256.Sum256([]byte(k.Organisation + "\x00" + k.Service + "\x00" + k.Value))
	return hex.EncodeToString(sum[:])
}

// Answer is a completed answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Omitted is true when the body was too large to keep.
	Omitted bool `json:"omitted,omitempty"`
}

// Claim is the stored state of a key.
type Claim struct {
	// RequestID, Attempt and Incarnation name the holder.
	RequestID   string `json:"request_id"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	// BodyHash is the SHA-256 of method, path and body.
	BodyHash string `json:"body_hash"`
	// ClaimedAt is the holder's time of the claim.
	ClaimedAt time.Time `json:"claimed_at"`
	// SettledBy is when the work has ended, or its outcome stays unknown.
	SettledBy time.Time `json:"settled_by"`
	// OutcomeUnknown is true when the work was sent and its outcome is unknown.
	OutcomeUnknown bool `json:"lost,omitempty"`
	// Released is true when the holder did not run the work and never will.
	Released bool `json:"released,omitempty"`
	// Answer is set once the work is complete.
	Answer *Answer `json:"answer,omitempty"`
}

// HashBody returns the hash that tells the bodies of two requests apart.
func HashBody(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + " " + path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// heldBy reports whether a claim is that of the same attempt.
func (c *Claim) heldBy(mine *Claim) bool {
	return c.RequestID == mine.RequestID && c.Attempt == mine.Attempt && c.Incarnation == mine.Incarnation
}

// Result is what a claim allows.
type Result struct {
	// Held is true when the caller holds the claim and may run the work.
	Held bool
	// CanTakeOver is true when the caller may replace the claim by its own.
	CanTakeOver bool
	// Answer is the stored answer of work that has already run.
	Answer *Answer
	// Refusal is set when the work must not be run now.
	Refusal *problem.Problem
}

// Evaluate decides what a claim found in the store means to a claimant. It is pure.
func Evaluate(found, mine Claim) Result {
	switch {
	case found.BodyHash != mine.BodyHash:
		return Result{Refusal: problem.New(problem.ReasonKeyReused, "")}
	case found.Answer != nil && found.Answer.Omitted:
		return Result{Refusal: problem.New(problem.ReasonAnswerNotKept, "run by request "+found.RequestID)}
	case found.Answer != nil:
		return Result{Answer: found.Answer}
	case found.Released:
		return Result{CanTakeOver: true}
	case found.heldBy(&mine):
		return Result{Held: true}
	case found.RequestID == mine.RequestID && found.Attempt < mine.Attempt:
		return Result{CanTakeOver: true}
	case found.OutcomeUnknown || found.SettledBy.Before(mine.ClaimedAt):
		return Result{Refusal: problem.New(problem.ReasonOutcomeUnknown, "sent by request "+found.RequestID)}
	default:
		return Result{Refusal: problem.New(problem.ReasonKeyInUse, "claimed by request "+found.RequestID)}
	}
}

// Registry claims keys in a store.
type Registry struct {
	store objects.Store
}

// NewRegistry returns a book on a store.
func NewRegistry(store objects.Store) *Registry { return &Registry{store: store} }

// Handle is a held claim.
type Handle struct {
	name    string
	version string
	claim   Claim
}

// maxTries bounds the conditional writes of one call.
const maxTries = 3

// Claim tries to claim a key. After a verdict of claims unavailable the claim
// may still be written later; the caller calls Abandon until it succeeds.
func (b *Registry) Claim(ctx context.Context, key Key, mine Claim) (Result, *Handle) {
	name := key.ObjectName()
	written, err := b.store.Create(ctx, Kind, name, mine)
	for range maxTries {
		if err == nil {
			return Result{Held: true}, &Handle{name: name, version: written.Metadata.ResourceVersion, claim: mine}
		}
		found, version, readErr := b.read(ctx, name)
		if readErr != nil {
			err = readErr
			break
		}
		verdict := Evaluate(found, mine)
		if verdict.Held {
			return verdict, &Handle{name: name, version: version, claim: mine}
		}
		if !verdict.CanTakeOver {
			return verdict, nil
		}
		written, err = b.store.Update(ctx, Kind, name, version, mine)
	}
	return Result{Refusal: problem.New(problem.ReasonClaimsUnavailable, errorText(err))}, nil
}

func errorText(err error) string {
	if err == nil {
		return "the key is claimed by turns"
	}
	return err.Error()
}

// Complete stores the answer of the claimed work.
func (b *Registry) Complete(ctx context.Context, h *Handle, a Answer) error {
	if len(a.Body) > MaxAnswerBytes {
		a = Answer{Status: a.Status, ContentType: a.ContentType, Omitted: true}
	}
	h.claim.Answer = &a
	return b.write(ctx, h)
}

// MarkOutcomeUnknown records that the outcome of the claimed work is unknown.
func (b *Registry) MarkOutcomeUnknown(ctx context.Context, h *Handle) error {
	h.claim.OutcomeUnknown = true
	return b.write(ctx, h)
}

// Release gives the key back when the work did not run and never will.
func (b *Registry) Release(ctx context.Context, h *Handle) error {
	h.claim.Released = true
	return b.write(ctx, h)
}

// Abandon gives back the claim of an attempt that was refused because the store
// did not answer. The attempt must never run.
func (b *Registry) Abandon(ctx context.Context, key Key, mine Claim) error {
	found, version, err := b.read(ctx, key.ObjectName())
	if errors.Is(err, objects.ErrNotFound) || err == nil && !found.heldBy(&mine) {
		return nil
	}
	if err != nil {
		return err
	}
	return b.Release(ctx, &Handle{name: key.ObjectName(), version: version, claim: mine})
}

// write writes a held claim. After an error it reads the claim again, as the
// write may have taken effect or the version may be that of a lost answer.
func (b *Registry) write(ctx context.Context, h *Handle) error {
	var err error
	for range maxTries {
		if _, err = b.store.Update(ctx, Kind, h.name, h.version, h.claim); err == nil {
			return nil
		}
		found, version, readErr := b.read(ctx, h.name)
		if readErr != nil {
			return errors.Wrap(readErr, "claim not updated; a resend is told that the key is in use")
		}
		if !found.heldBy(&h.claim) || found.Released || found.OutcomeUnknown || found.Answer != nil {
			return nil
		}
		h.version = version
	}
	return errors.Wrap(err, "claim not updated; a resend is told that the key is in use")
}

func (b *Registry) read(ctx context.Context, name string) (Claim, string, error) {
	o, err := b.store.Get(ctx, Kind, name)
	if err != nil {
		return Claim{}, "", err
	}
	var found Claim
	if err := json.Unmarshal(o.Spec, &found); err != nil {
		return Claim{}, "", errors.Wrap(err, "claim can't be read; ask an operator to remove it")
	}
	return found, o.Metadata.ResourceVersion, nil
}
