package ceiling

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestInterval is the time between two questions of an entry.
const RequestInterval = 250 * time.Millisecond

// BatchRequest is all that an entry asks one home at a time.
type BatchRequest struct {
	// Entries is the number of entries that share each ceiling.
	Entries  int         `json:"entries"`
	Requests []BatchItem `json:"asks"`
}

// BatchItem is a LeaseRequest with the organisation's ceiling in tokens a second.
type BatchItem struct {
	LeaseRequest
	Ceiling float64 `json:"ceiling"`
}

// BatchResponse is all grants for one BatchRequest.
type BatchResponse struct {
	Grants []Grant `json:"grants"`
}

// Limiter holds an entry's parts of all ceilings. Only organisations with a ceiling
// and recent work have one.
type Limiter struct {
	entry   string
	burst   time.Duration
	holders map[string]*held
}

type held struct {
	*Bucket
	ceiling float64
}

// NewLimiter returns an empty set. burst is how long an unused part is saved up.
func NewLimiter(entry string, burst time.Duration) *Limiter {
	return &Limiter{entry: entry, burst: burst, holders: make(map[string]*held)}
}

// Len returns the number of parts held.
func (p *Limiter) Len() int { return len(p.holders) }

// Spend takes a request's cost from an organisation's part. When there is too
// little it returns the time until there is enough.
func (p *Limiter) Spend(organisation string, ceiling float64, entries int, cost float64, now time.Time) (time.Duration, bool) {
	base := ceiling / float64(max(1, entries))
	h, ok := p.holders[organisation]
	if !ok {
		h = &held{Bucket: NewBucket(base, p.burst, now)}
		p.holders[organisation] = h
	}
	h.SetBase(base)
	h.ceiling = ceiling
	return h.Spend(cost, p.burst, now)
}

// Rate returns an organisation's part in tokens a second, or 0 when it has none.
func (p *Limiter) Rate(organisation string, now time.Time) float64 {
	if h, ok := p.holders[organisation]; ok {
		return h.Rate(now)
	}
	return 0
}

// LeaseRequests returns what to ask each home now, and forgets unused parts.
func (p *Limiter) LeaseRequests(entries []string, now time.Time) map[string]*BatchRequest {
	questions := make(map[string]*BatchRequest)
	for organisation, h := range p.holders {
		if h.Idle(now) {
			delete(p.holders, organisation)
			continue
		}
		home := HomeEntry(organisation, entries)
		if home == "" {
			continue
		}
		q, ok := questions[home]
		if !ok {
			q = &BatchRequest{Entries: len(entries)}
			questions[home] = q
		}
		q.Requests = append(q.Requests, BatchItem{LeaseRequest: h.NextRequest(organisation, p.entry, now), Ceiling: h.ceiling})
	}
	return questions
}

// ApplyGrants takes a home's grants.
func (p *Limiter) ApplyGrants(a BatchResponse, now time.Time) {
	for _, g := range a.Grants {
		if h, ok := p.holders[g.Organisation]; ok {
			h.ApplyGrant(g, now)
		}
	}
}

// HomeEntry returns the entry that keeps an organisation's book, by rendezvous
// hashing, or "" when there are no entries.
func HomeEntry(organisation string, entries []string) string {
	home, best := "", uint64(0)
	for _, entry := range entries {
		if score := xxhash.Sum64String(organisation + "/" + entry); home == "" || score > best {
			home, best = entry, score
		}
	}
	return home
}

// Allocators holds the books that an entry keeps for all entries.
type Allocators struct {
	incarnation string
	books       map[string]*Allocator
	nextSweep   time.Time
}

// NewAllocators returns no books. The incarnation is fresh at each start.
func NewAllocators(incarnation string) *Allocators {
	return &Allocators{incarnation: incarnation, books: make(map[string]*Allocator)}
}

// Len returns the number of books held.
func (h *Allocators) Len() int { return len(h.books) }

// Grant answers an entry's question.
func (h *Allocators) Grant(q *BatchRequest, now time.Time) BatchResponse {
	h.sweep(now)
	var a BatchResponse
	for _, row := range q.Requests {
		b, ok := h.books[row.Organisation]
		if !ok {
			b = NewAllocator(h.incarnation)
			h.books[row.Organisation] = b
		}
		if g, ok := b.Grant(row.LeaseRequest, row.Ceiling, q.Entries, now); ok {
			a.Grants = append(a.Grants, g)
		}
	}
	return a
}

// sweep forgets books whose leases have all ended.
func (h *Allocators) sweep(now time.Time) {
	if now.Before(h.nextSweep) {
		return
	}
	h.nextSweep = now.Add(LeaseDuration)
	for organisation, b := range h.books {
		if b.Idle(now) {
			delete(h.books, organisation)
		}
	}
}
