// Package claim makes a caller's resend of work that is not idempotent run at
// most once. The idempotency key is claimed by a conditional create in the
// object API before dispatch, and completed with the answer afterwards. A claim
// whose create was answered by an error is read again and recognised as one's
// own by its request ID and agent incarnation.
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

// Name returns the name of the key's object.
func (k Key) Name() string {
	sum := sha256.Sum256([]byte(k.Organisation + "\x00" + k.Service + "\x00" + k.Value))
	return hex.EncodeToString(sum[:])
}

// Answer is a completed answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Claim is the stored state of a key.
type Claim struct {
	// RequestID and Incarnation name the holder.
	RequestID   string `json:"request_id"`
	Incarnation string `json:"incarnation"`
	// BodyHash is the SHA-256 of method, path and body.
	BodyHash string `json:"body_hash"`
	// ClaimedAt is the holder's time of the claim.
	ClaimedAt time.Time `json:"claimed_at"`
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

// Verdict is what a claim allows.
type Verdict struct {
	// Held is true when the caller holds the claim and may run the work.
	Held bool
	// Answer is the stored answer of work that has already run.
	Answer *Answer
	// Refusal is set when the work must not be run now.
	Refusal *problem.Problem
}

// Judge decides what a claim found in the store means to a claimant. It is pure.
func Judge(found, mine Claim) Verdict {
	switch {
	case found.BodyHash != mine.BodyHash:
		return Verdict{Refusal: problem.New(problem.ReasonKeyReused, "")}
	case found.Answer != nil:
		return Verdict{Answer: found.Answer}
	case found.RequestID == mine.RequestID && found.Incarnation == mine.Incarnation && !found.Released:
		return Verdict{Held: true}
	default:
		return Verdict{Refusal: problem.New(problem.ReasonKeyInUse, "claimed by request "+found.RequestID)}
	}
}

// Book claims keys in a store.
type Book struct {
	store objects.Store
}

// NewBook returns a book on a store.
func NewBook(store objects.Store) *Book { return &Book{store: store} }

// Handle is a held claim.
type Handle struct {
	name    string
	version string
	claim   Claim
}

// Claim tries to claim a key.
func (b *Book) Claim(ctx context.Context, key Key, mine Claim) (Verdict, *Handle) {
	created, err := b.store.Create(ctx, Kind, key.Name(), mine)
	if err == nil {
		return Verdict{Held: true}, &Handle{name: key.Name(), version: created.Metadata.ResourceVersion, claim: mine}
	}
	found, version, err := b.read(ctx, key)
	if err != nil {
		return Verdict{Refusal: problem.New(problem.ReasonClaimsUnavailable, err.Error())}, nil
	}
	if found.Released && found.BodyHash == mine.BodyHash {
		return b.takeOver(ctx, key, version, mine)
	}
	verdict := Judge(found, mine)
	if !verdict.Held {
		return verdict, nil
	}
	return verdict, &Handle{name: key.Name(), version: version, claim: mine}
}

// takeOver claims a key whose holder released it.
func (b *Book) takeOver(ctx context.Context, key Key, version string, mine Claim) (Verdict, *Handle) {
	updated, err := b.store.Update(ctx, Kind, key.Name(), version, mine)
	if err == nil {
		return Verdict{Held: true}, &Handle{name: key.Name(), version: updated.Metadata.ResourceVersion, claim: mine}
	}
	found, version, err := b.read(ctx, key)
	if err != nil {
		return Verdict{Refusal: problem.New(problem.ReasonClaimsUnavailable, err.Error())}, nil
	}
	verdict := Judge(found, mine)
	if !verdict.Held {
		return verdict, nil
	}
	return verdict, &Handle{name: key.Name(), version: version, claim: mine}
}

// Complete stores the answer of the claimed work.
func (b *Book) Complete(ctx context.Context, h *Handle, a Answer) error {
	h.claim.Answer = &a
	if len(a.Body) > MaxAnswerBytes {
		h.claim.Answer = &Answer{Status: a.Status, ContentType: "application/octet-stream"}
	}
	return b.update(ctx, h)
}

// Release gives the key back when the work did not run and never will.
func (b *Book) Release(ctx context.Context, h *Handle) error {
	h.claim.Released = true
	return b.update(ctx, h)
}

func (b *Book) update(ctx context.Context, h *Handle) error {
	_, err := b.store.Update(ctx, Kind, h.name, h.version, h.claim)
	return errors.Wrap(err, "claim not updated; a resend is told that the outcome is unknown")
}

func (b *Book) read(ctx context.Context, key Key) (Claim, string, error) {
	o, err := b.store.Get(ctx, Kind, key.Name())
	if err != nil {
		return Claim{}, "", err
	}
	var found Claim
	if err := json.Unmarshal(o.Spec, &found); err != nil {
		return Claim{}, "", errors.Wrap(err, "claim can't be read; ask an operator to remove it")
	}
	return found, o.Metadata.ResourceVersion, nil
}
