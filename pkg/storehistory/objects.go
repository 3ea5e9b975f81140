package storehistory

import (
	"encoding/json"
	"time"
)

// Position is a point in the histories of a store.
type Position struct{ Era, Revision uint64 }

// Item is an object as the store lists it.
type Item struct {
	// Revision is the revision of the object's last change.
	Revision uint64
	Raw      json.RawMessage
}

// Event is the change of one object.
type Event struct {
	Name    string
	Removed bool
	Item    Item
}

// Policy states what happens to the objects of a kind when the store comes back from a copy.
// Whoever wrote the lost objects writes them again, within a short time.
type Policy struct {
	// KeepMissing is how long an object counts as present that the copy lacks.
	KeepMissing time.Duration
	// HideRemoved is how long an object counts as absent that was removed before the restore
	// and that the copy still has.
	HideRemoved time.Duration
	// IsOlder reports whether the object that the copy has is an older state of the known
	// one, which then counts for KeepMissing. It may be nil.
	IsOlder func(known, listed json.RawMessage) bool
}

// Bounds of the memory for removed objects.
const (
	// removedTime is how long it is remembered that an object was removed. Copies are seconds
	// old.
	removedTime = 2 * time.Minute
	maxRemoved  = 10_000
)

// Objects holds the objects of one kind as the store listed them, and what is known from
// before the store came back from a copy. It is not safe for concurrent use.
type Objects struct {
	policy   Policy
	position Position
	listed   bool
	// items are the objects in the newest era.
	items map[string]Item
	// kept are objects of an earlier era that count until keepUntil unless the new era has a
	// newer state of them.
	kept      map[string]Item
	keepUntil time.Time
	// hidden are objects that don't count until hideUntil.
	hidden    map[string]bool
	hideUntil time.Time
	// removed holds the objects that were removed lately, by name.
	removed map[string]removal
}

// removal is an object that was removed, in its last state.
type removal struct {
	at   time.Time
	item Item
}

// NewObjects returns the objects of a kind that has not been listed yet.
func NewObjects(p Policy) *Objects {
	return &Objects{policy: p, items: make(map[string]Item), removed: make(map[string]removal)}
}

// Position returns the point up to which the objects are known.
func (o *Objects) Position() Position { return o.position }

// IsListed reports whether a watch can continue from the position.
func (o *Objects) IsListed() bool { return o.listed }

// Unlist records that no watch can continue from the position: the store has dropped the
// history, or has come back from a copy.
func (o *Objects) Unlist() { o.listed = false }

// List applies a list of all objects. It returns false if the list is older than what is
// known.
func (o *Objects) List(p Position, items map[string]Item, now time.Time) bool {
	if p.Era < o.position.Era || p.Era == o.position.Era && p.Revision < o.position.Revision {
		return false
	}
	if restored := p.Era > o.position.Era && o.position != (Position{}); restored {
		o.beginEra(items, now)
	} else {
		for name, item := range o.current(now) {
			if _, ok := items[name]; !ok {
				o.recordRemoval(name, item, now)
			}
		}
	}
	o.items, o.position, o.listed = items, p, true
	return true
}

// beginEra keeps what is known from before a restore.
func (o *Objects) beginEra(items map[string]Item, now time.Time) {
	known := o.current(now)
	o.kept, o.keepUntil = known, now.Add(o.policy.KeepMissing)
	if o.policy.KeepMissing == 0 {
		o.kept = nil
	}
	o.hidden = make(map[string]bool)
	o.hideUntil = now.Add(o.policy.HideRemoved)
	for name, item := range items {
		r, ok := o.removed[name]
		if _, counts := known[name]; counts || !ok || now.Sub(r.at) > removedTime {
			continue
		}
		o.hidden[name] = !o.isNewerThanRemoved(item, r.item)
	}
}

// isNewerThanRemoved reports whether an object was written again after it was removed.
func (o *Objects) isNewerThanRemoved(listed, removed Item) bool {
	if o.policy.IsOlder != nil {
		return o.policy.IsOlder(listed.Raw, removed.Raw)
	}
	return listed.Revision > removed.Revision
}

// recordRemoval remembers that an object was removed.
func (o *Objects) recordRemoval(name string, item Item, now time.Time) {
	if o.policy.HideRemoved == 0 {
		return
	}
	if len(o.removed) >= maxRemoved {
		clear(o.removed)
	}
	for other, r := range o.removed {
		if now.Sub(r.at) > removedTime {
			delete(o.removed, other)
		}
	}
	if r, ok := o.removed[name]; ok && !o.isNewerThanRemoved(item, r.item) {
		item = r.item
	}
	o.removed[name] = removal{at: now, item: item}
}

// Watch applies the events of a watch that began at a position. It returns false if the
// events can't be applied, because the store has come back from a copy meanwhile or before.
func (o *Objects) Watch(from, to Position, events []Event, now time.Time) bool {
	if !o.listed || from.Era != o.position.Era || to.Era != from.Era {
		return false
	}
	known := o.current(now)
	for _, e := range events {
		if item, ok := known[e.Name]; ok && e.Removed {
			o.recordRemoval(e.Name, item, now)
		}
		// What is written in the new era counts at once.
		delete(o.kept, e.Name)
		delete(o.hidden, e.Name)
		if e.Removed {
			delete(o.items, e.Name)
			delete(known, e.Name)
			continue
		}
		o.items[e.Name], known[e.Name] = e.Item, e.Item
	}
	o.position.Revision = max(o.position.Revision, to.Revision)
	return true
}

// current returns the objects that count now.
func (o *Objects) current(now time.Time) map[string]Item {
	out := make(map[string]Item, len(o.items))
	for name, item := range o.items {
		if !now.Before(o.hideUntil) || !o.hidden[name] {
			out[name] = item
		}
	}
	if !now.Before(o.keepUntil) {
		return out
	}
	for name, item := range o.kept {
		listed, ok := o.items[name]
		if !ok || o.policy.IsOlder != nil && o.policy.IsOlder(item.Raw, listed.Raw) {
			out[name] = item
		}
	}
	return out
}

// Current returns the objects that count now, by name.
func (o *Objects) Current(now time.Time) map[string]json.RawMessage {
	current := o.current(now)
	out := make(map[string]json.RawMessage, len(current))
	for name, item := range current {
		out[name] = item.Raw
	}
	return out
}

// Settle ends the exceptions for objects from before a restore that have expired. It reports
// whether there were any, so that the objects that count may have changed.
func (o *Objects) Settle(now time.Time) bool {
	settled := false
	if len(o.kept) > 0 && !now.Before(o.keepUntil) {
		for name, item := range o.kept {
			if _, ok := o.items[name]; !ok {
				o.recordRemoval(name, item, now)
			}
		}
		o.kept, settled = nil, true
	}
	if len(o.hidden) > 0 && !now.Before(o.hideUntil) {
		o.hidden, settled = nil, true
	}
	return settled
}

// UntilSettled returns the time until Settle is due, at most limit.
func (o *Objects) UntilSettled(limit time.Duration, now time.Time) time.Duration {
	if len(o.kept) > 0 {
		limit = min(limit, o.keepUntil.Sub(now))
	}
	if len(o.hidden) > 0 {
		limit = min(limit, o.hideUntil.Sub(now))
	}
	return max(0, limit)
}
