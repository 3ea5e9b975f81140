package ceiling

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// AskInterval is the time between two questions of an entry.
const AskInterval = 250 * time.Millisecond

// Question is all that an entry asks one home at a time.
type Question struct {
	// Entries is the number of entries that share each ceiling.
	Entries int   `json:"entries"`
	Asks    []Row `json:"asks"`
}

// Row is an Ask with the organisation's ceiling in tokens a second.
type Row struct {
	Ask
	Ceiling float64 `json:"ceiling"`
}

// Answer is all grants for one Question.
type Answer struct {
	Grants []Grant `json:"grants"`
}

// Parts holds an entry's parts of all ceilings. Only organisations with a ceiling
// and recent work have one.
type Parts struct {
	entry   string
	burst   time.Duration
	holders map[string]*held
}

type held struct {
	*Holder
	ceiling float64
}

// NewParts returns an empty set. burst is how long an unused part is saved up.
func NewParts(entry string, burst time.Duration) *Parts {
	return &Parts{entry: entry, burst: burst, holders: make(map[string]*held)}
}

// Len returns the number of parts held.
func (p *Parts) Len() int { return len(p.holders) }

// Spend takes a request's cost from an organisation's part. When there is too
// little it returns the time until there is enough.
func (p *Parts) Spend(organisation string, ceiling float64, entries int, cost float64, now time.Time) (time.Duration, bool) {
	base := ceiling / float64(max(1, entries))
	h, ok := p.holders[organisation]
	if !ok {
		h = &held{Holder: NewHolder(base, p.burst, now)}
		p.holders[organisation] = h
	}
	h.SetBase(base)
	h.ceiling = ceiling
	return h.Spend(cost, p.burst, now)
}

// Part returns an organisation's part in tokens a second, or 0 when it has none.
func (p *Parts) Part(organisation string, now time.Time) float64 {
	if h, ok := p.holders[organisation]; ok {
		return h.Part(now)
	}
	return 0
}

// Questions returns what to ask each home now, and forgets unused parts.
func (p *Parts) Questions(entries []string, now time.Time) map[string]*Question {
	questions := make(map[string]*Question)
	for organisation, h := range p.holders {
		if h.Idle(now) {
			delete(p.holders, organisation)
			continue
		}
		home := Home(organisation, entries)
		if home == "" {
			continue
		}
		q, ok := questions[home]
		if !ok {
			q = &Question{Entries: len(entries)}
			questions[home] = q
		}
		q.Asks = append(q.Asks, Row{Ask: h.Ask(organisation, p.entry, now), Ceiling: h.ceiling})
	}
	return questions
}

// Take takes a home's grants.
func (p *Parts) Take(a Answer, now time.Time) {
	for _, g := range a.Grants {
		if h, ok := p.holders[g.Organisation]; ok {
			h.Take(g, now)
		}
	}
}

// Home returns the entry that keeps an organisation's book, by rendezvous
// hashing, or "" when there are no entries.
func Home(organisation string, entries []string) string {
	home, best := "", uint64(0)
	for _, entry := range entries {
		if score := xxhash.Sum64String(organisation + "/" + entry); home == "" || score > best {
			home, best = entry, score
		}
	}
	return home
}

// Homes holds the books that an entry keeps for all entries.
type Homes struct {
	incarnation string
	books       map[string]*Book
	nextSweep   time.Time
}

// NewHomes returns no books. The incarnation is fresh at each start.
func NewHomes(incarnation string) *Homes {
	return &Homes{incarnation: incarnation, books: make(map[string]*Book)}
}

// Len returns the number of books held.
func (h *Homes) Len() int { return len(h.books) }

// Answer answers an entry's question.
func (h *Homes) Answer(q *Question, now time.Time) Answer {
	h.sweep(now)
	var a Answer
	for _, row := range q.Asks {
		b, ok := h.books[row.Organisation]
		if !ok {
			b = NewBook(h.incarnation)
			h.books[row.Organisation] = b
		}
		if g, ok := b.Ask(row.Ask, row.Ceiling, q.Entries, now); ok {
			a.Grants = append(a.Grants, g)
		}
	}
	return a
}

// sweep forgets books whose leases have all ended.
func (h *Homes) sweep(now time.Time) {
	if now.Before(h.nextSweep) {
		return
	}
	h.nextSweep = now.Add(Lease)
	for organisation, b := range h.books {
		if b.Idle(now) {
			delete(h.books, organisation)
		}
	}
}
