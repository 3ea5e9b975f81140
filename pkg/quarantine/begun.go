package quarantine

import (
	"container/list"
	"slices"
	"time"
)

// Limits on what an entry remembers of the parts that have begun well.
const (
	// maxBegunParts is the number of parts that are remembered.
	maxBegunParts = 20000
	// maxBegunOrganisations is the number of organisations that are remembered for each
	// part.
	maxBegunOrganisations = 16
	// begunLifetime is how long a part is remembered after it last began well.
	begunLifetime = 2 * time.Hour
)

// partKey identifies a part of prompts to a service. Another service may run another
// model, to which the part does no harm.
type partKey struct {
	service string
	part    string
}

// begunParts remembers the parts of prompts with which responses have begun well at this
// entry, and for which organisations. It forgets the parts that were used least recently.
type begunParts struct {
	parts map[partKey]*list.Element
	// order holds *begunPart, the most recently used one first.
	order *list.List
}

type begunPart struct {
	key           partKey
	firstAt       time.Time
	lastAt        time.Time
	organisations []begunOrganisation
}

type begunOrganisation struct {
	name   string
	lastAt time.Time
}

func newBegunParts() *begunParts {
	return &begunParts{parts: make(map[partKey]*list.Element), order: list.New()}
}

// record records that a response to an organisation has begun well.
func (b *begunParts) record(key partKey, organisation string, now time.Time) {
	p := b.find(key, now)
	if p == nil {
		p = &begunPart{key: key, firstAt: now}
		b.parts[key] = b.order.PushFront(p)
	} else {
		b.order.MoveToFront(b.parts[key])
	}
	p.lastAt = now
	p.recordOrganisation(organisation, now)
	for b.order.Len() > maxBegunParts {
		b.remove(b.order.Back())
	}
}

func (b *begunParts) remove(e *list.Element) {
	delete(b.parts, e.Value.(*begunPart).key)
	b.order.Remove(e)
}

// find returns what is remembered of a part, or nil.
func (b *begunParts) find(key partKey, now time.Time) *begunPart {
	e, ok := b.parts[key]
	if !ok {
		return nil
	}
	p := e.Value.(*begunPart)
	if now.Sub(p.lastAt) > begunLifetime {
		b.remove(e)
		return nil
	}
	return p
}

// recordOrganisation records a beginning for an organisation. It forgets the one whose
// latest beginning is the oldest when there are too many.
func (p *begunPart) recordOrganisation(name string, now time.Time) {
	for i := range p.organisations {
		if p.organisations[i].name == name {
			p.organisations[i].lastAt = now
			return
		}
	}
	if len(p.organisations) >= maxBegunOrganisations {
		oldest := 0
		for i := range p.organisations {
			if p.organisations[i].lastAt.Before(p.organisations[oldest].lastAt) {
				oldest = i
			}
		}
		p.organisations = slices.Delete(p.organisations, oldest, oldest+1)
	}
	p.organisations = append(p.organisations, begunOrganisation{name: name, lastAt: now})
}
