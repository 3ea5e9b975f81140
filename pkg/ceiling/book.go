// Package ceiling divides an organisation's global ceiling into parts that
// entries spend from. Each entry has a fixed fraction, the ceiling divided by
// the number of entries, and always may use that. A home entry moves parts
// between entries that reach it, by leases: who needs less promises to stay
// below its fraction for a time, and only what was promised is lent to others,
// for no longer. Without a lease an entry is back at its fraction, so the parts
// never sum to more than the ceiling, however the entries are cut off from each
// other, and also when there is more than one home. The package is pure.
package ceiling

import (
	"time"
)

// LeaseDuration is how long a part is granted at most.
const LeaseDuration = 2 * time.Second

// minLease is the shortest lease that is granted.
const minLease = LeaseDuration / 2

// LeaseRequest is an entry's question for a new part.
type LeaseRequest struct {
	Organisation string `json:"organisation"`
	Entry        string `json:"entry"`
	// Home is the incarnation that the entry's lease is from, and LeaseID the
	// lease's number there. They are empty at the fixed fraction.
	Home    string `json:"home,omitempty"`
	LeaseID uint64 `json:"grant,omitempty"`
	// Sequence counts the entry's questions.
	Sequence uint64 `json:"number"`
	// Held is the part that the entry has now, Demand the part that it needs, in
	// tokens a second.
	Held   float64 `json:"held"`
	Demand float64 `json:"want"`
}

// Grant answers a LeaseRequest.
type Grant struct {
	Organisation string `json:"organisation"`
	Home         string `json:"home"`
	LeaseID      uint64 `json:"number"`
	// Sequence is the number of the question.
	Sequence uint64 `json:"ask"`
	// Rate is the granted part in tokens a second, Duration how long it is granted.
	Rate     float64       `json:"part"`
	Duration time.Duration `json:"for"`
}

// Allocator is the home's account of one organisation's parts.
type Allocator struct {
	home   string
	parts  map[string]*part
	grants uint64
}

// part is what the home knows of one entry.
type part struct {
	asked uint64
	want  float64
	// held is the confirmed part, which ends at the time until.
	held  float64
	until time.Time
	// offered is the part of the last grant, not confirmed yet.
	offered      float64
	offeredUntil time.Time
	offer        uint64
}

// NewAllocator returns the account of a home. The incarnation is fresh at each start.
func NewAllocator(incarnation string) *Allocator {
	return &Allocator{home: incarnation, parts: make(map[string]*part)}
}

// Idle reports whether all leases of the book have ended.
func (b *Allocator) Idle(now time.Time) bool {
	b.forget(now)
	return len(b.parts) == 0
}

// Grant answers a question. entries is the number of entries that share the
// ceiling. It reports false when the question must not be answered: it is old, or
// the entry still holds another home's lease.
func (b *Allocator) Grant(q LeaseRequest, ceiling float64, entries int, now time.Time) (Grant, bool) {
	b.forget(now)
	if q.Home != "" && q.Home != b.home {
		return Grant{}, false
	}
	base := ceiling / float64(max(1, entries))
	p, ok := b.parts[q.Entry]
	if !ok {
		p = &part{held: base}
		b.parts[q.Entry] = p
	}
	if q.Sequence <= p.asked {
		return Grant{}, false
	}
	p.confirm(q)
	amount, until := b.offer(p, ceiling, base, entries, now)
	b.grants++
	p.offer, p.offered, p.offeredUntil = b.grants, amount, until
	return Grant{
		Organisation: q.Organisation, Home: b.home, LeaseID: b.grants, Sequence: q.Sequence,
		Rate: amount, Duration: until.Sub(now),
	}, true
}

// confirm takes what a question tells of the entry's present part.
func (p *part) confirm(q LeaseRequest) {
	p.asked, p.want, p.held = q.Sequence, q.Demand, q.Held
	if q.LeaseID != 0 && q.LeaseID == p.offer {
		p.until = p.offeredUntil
	}
	if q.LeaseID == 0 {
		p.until = time.Time{}
	}
}

// offer returns the part for an entry and until when it can be granted.
func (b *Allocator) offer(mine *part, ceiling, base float64, entries int, now time.Time) (float64, time.Time) {
	until := now.Add(LeaseDuration)
	free := ceiling - base*float64(max(0, entries-len(b.parts)))
	wanted := mine.want
	for _, p := range b.parts {
		if p == mine {
			continue
		}
		wanted += p.want
		most := p.most(base, now)
		if most < base && p.until.Before(until) {
			until = p.until
		}
		free -= most
	}
	fair := mine.want / max(wanted, 1e-9) * ceiling
	if wanted <= 0 {
		fair = base
	}
	amount := max(0, min(fair, free))
	if amount <= base {
		// Others may count on an earlier promise for a whole lease.
		until = now.Add(LeaseDuration)
	}
	return amount, until
}

// most returns the most that an entry may use for at least the shortest lease.
func (p *part) most(base float64, now time.Time) float64 {
	most := max(p.held, p.offered)
	if p.until.Sub(now) < minLease {
		return max(most, base)
	}
	return most
}

// forget removes entries whose leases have ended; they are at their fraction.
func (b *Allocator) forget(now time.Time) {
	for name, p := range b.parts {
		if now.After(p.until) && now.After(p.offeredUntil) {
			delete(b.parts, name)
		}
	}
}
