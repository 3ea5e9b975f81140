package ceiling

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestInterval is the time between two lease requests of an entry.
const RequestInterval = 250 * time.Millisecond

// BatchRequest holds all lease requests that an entry sends to one home at a time.
type BatchRequest struct {
	// Entries is the number of entries that share each ceiling.
	Entries  int         `json:"entries"`
	Requests []BatchItem `json:"asks"`
}

// Batches holds lease requests by the home that they are for.
type Batches map[string]*BatchRequest

// Add adds a request to the batch for its home. It does nothing when there are no entries.
func (b Batches) Add(item BatchItem, entries []string) {
	home := HomeEntry(item.Organisation, entries)
	if home == "" {
		return
	}
	batch, ok := b[home]
	if !ok {
		batch = &BatchRequest{Entries: len(entries)}
		b[home] = batch
	}
	batch.Requests = append(batch.Requests, item)
}

// Merge adds the requests of other batches.
func (b Batches) Merge(others Batches) {
	for home, batch := range others {
		if own, ok := b[home]; ok {
			own.Requests = append(own.Requests, batch.Requests...)
			continue
		}
		b[home] = batch
	}
}

// BatchItem is a LeaseRequest with the organisation's ceiling in tokens a second.
type BatchItem struct {
	LeaseRequest
	Ceiling float64 `json:"ceiling"`
}

// BatchResponse holds all grants for one BatchRequest.
type BatchResponse struct {
	Grants []Grant `json:"grants"`
}

// Limiter holds an entry's buckets. Only organisations with a ceiling and recent
// requests have one.
type Limiter struct {
	entry   string
	burst   time.Duration
	buckets map[string]*organisationBucket
}

// organisationBucket is a bucket with the organisation's ceiling.
type organisationBucket struct {
	*Bucket
	ceiling float64
}

// NewLimiter returns a limiter without buckets. burst is the time for which an
// unused rate accumulates.
func NewLimiter(entry string, burst time.Duration) *Limiter {
	return &Limiter{entry: entry, burst: burst, buckets: make(map[string]*organisationBucket)}
}

// Len returns the number of buckets.
func (l *Limiter) Len() int { return len(l.buckets) }

// Spend takes a request's cost from an organisation's bucket. If the level is too
// low, it returns false and the time until it is high enough. entries is the number
// of entries that share the ceiling.
func (l *Limiter) Spend(organisation string, ceiling float64, entries int, cost float64, now time.Time) (time.Duration, bool) {
	base := ceiling / float64(max(1, entries))
	b, ok := l.buckets[organisation]
	if !ok {
		b = &organisationBucket{Bucket: NewBucket(base, l.burst, now)}
		l.buckets[organisation] = b
	}
	b.SetBase(base)
	b.ceiling = ceiling
	return b.Spend(cost, l.burst, now)
}

// Rate returns an organisation's rate in tokens a second, or 0 when it has no
// bucket.
func (l *Limiter) Rate(organisation string, now time.Time) float64 {
	if b, ok := l.buckets[organisation]; ok {
		return b.Rate(now)
	}
	return 0
}

// LeaseRequests returns the requests to send to each home now, and removes idle
// buckets.
func (l *Limiter) LeaseRequests(entries []string, now time.Time) Batches {
	batches := make(Batches)
	for organisation, b := range l.buckets {
		if b.Idle(now) {
			delete(l.buckets, organisation)
			continue
		}
		batches.Add(BatchItem{LeaseRequest: b.NextRequest(organisation, l.entry, now), Ceiling: b.ceiling}, entries)
	}
	return batches
}

// ApplyGrants applies a home's grants.
func (l *Limiter) ApplyGrants(r BatchResponse, now time.Time) {
	for _, g := range r.Grants {
		if b, ok := l.buckets[g.Organisation]; ok {
			b.ApplyGrant(g, now)
		}
	}
}

// HomeEntry returns the entry that allocates an organisation's ceiling, chosen by
// rendezvous hashing, or "" when there are no entries.
func HomeEntry(organisation string, entries []string) string {
	home, best := "", uint64(0)
	for _, entry := range entries {
		if score := xxhash.Sum64String(organisation + "/" + entry); home == "" || score > best {
			home, best = entry, score
		}
	}
	return home
}

// HomeOrder returns how many of the entries would be the home before a given one.
func HomeOrder(organisation, entry string, entries []string) int {
	own, before := xxhash.Sum64String(organisation+"/"+entry), 0
	for _, other := range entries {
		if xxhash.Sum64String(organisation+"/"+other) > own {
			before++
		}
	}
	return before
}

// Allocators holds the allocators of all organisations whose home an entry is.
type Allocators struct {
	incarnation string
	allocators  map[string]*Allocator
	nextSweep   time.Time
}

// NewAllocators returns an empty set. The incarnation is new at each start of the
// process.
func NewAllocators(incarnation string) *Allocators {
	return &Allocators{incarnation: incarnation, allocators: make(map[string]*Allocator)}
}

// Len returns the number of allocators.
func (s *Allocators) Len() int { return len(s.allocators) }

// Grant grants the leases of a batch.
func (s *Allocators) Grant(batch *BatchRequest, now time.Time) BatchResponse {
	s.sweep(now)
	var r BatchResponse
	for _, item := range batch.Requests {
		a, ok := s.allocators[item.Organisation]
		if !ok {
			a = NewAllocator(s.incarnation)
			s.allocators[item.Organisation] = a
		}
		if g, ok := a.Grant(item.LeaseRequest, item.Ceiling, batch.Entries, now); ok {
			r.Grants = append(r.Grants, g)
		}
	}
	return r
}

// sweep removes allocators whose leases have all expired.
func (s *Allocators) sweep(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(LeaseDuration)
	for organisation, a := range s.allocators {
		if a.Idle(now) {
			delete(s.allocators, organisation)
		}
	}
}
