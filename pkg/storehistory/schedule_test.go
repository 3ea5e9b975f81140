package storehistory

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// state is the content of an object: the number of its state, which only rises.
type state struct {
	Sequence uint64 `json:"sequence"`
}

func isOlderState(known, listed json.RawMessage) bool {
	var k, l state
	return json.Unmarshal(known, &k) == nil && json.Unmarshal(listed, &l) == nil && l.Sequence < k.Sequence
}

// The writers write again within maxRewriteTime what a restore has lost, and answers are late
// by at most maxAnswerTime. The policy covers both.
const (
	maxRewriteTime = 1500 * time.Millisecond
	maxAnswerTime  = 1500 * time.Millisecond
)

var testPolicy = Policy{KeepMissing: maxRewriteTime + maxAnswerTime + 200*time.Millisecond, HideRemoved: 5 * time.Second, IsOlder: isOlderState}

// simulatedStore is a store with writers that write again what a restore has lost.
type simulatedStore struct {
	era, revision uint64
	items         map[string]Item
	history       []historyEvent
	// truth holds the state of each object that its writer last wrote, removed ones with none.
	truth map[string]uint64
}

type historyEvent struct {
	revision uint64
	event    Event
}

func (s *simulatedStore) write(name string, sequence uint64) {
	s.revision++
	raw, _ := json.Marshal(state{sequence})
	item := Item{Revision: s.revision, Raw: raw}
	s.items[name] = item
	s.truth[name] = sequence
	s.history = append(s.history, historyEvent{s.revision, Event{Name: name, Item: item}})
}

func (s *simulatedStore) remove(name string) {
	s.revision++
	s.history = append(s.history, historyEvent{s.revision, Event{Name: name, Removed: true, Item: s.items[name]}})
	delete(s.items, name)
	delete(s.truth, name)
}

// copyOf returns a copy of the store without the truth.
func (s *simulatedStore) copyOf() *simulatedStore {
	return &simulatedStore{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// restore replaces the content by that of a copy.
func (s *simulatedStore) restore(c *simulatedStore) {
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
}

// answer is an answer on its way to the process.
type answer struct {
	at, sentAt time.Time
	apply      func()
}

// TestObjectsFollowTheStore plays restores, one shortly after another, with answers that are
// late and overtake each other. The process must end with what the writers have written,
// never show an object that it knew to be removed, and never an older state of one, while
// the copy may still have it.
func TestObjectsFollowTheStore(t *testing.T) {
	for seed := range uint64(300) {
		if err := playSchedule(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// seen is the newest state of an object that a process has shown.
type seen struct {
	sequence uint64
	removed  bool
	at       time.Time
}

func playSchedule(seed uint64) error {
	r := rand.New(rand.NewPCG(seed, 9))
	store := &simulatedStore{era: 1, revision: 1, items: make(map[string]Item), truth: make(map[string]uint64)}
	var tracker Tracker
	objects := NewObjects(testPolicy)
	shown := make(map[string]seen)
	var copies []*simulatedStore
	var inFlight []answer
	var rewriteAt, restoredAt time.Time
	rewriteDue := false
	sequence := uint64(0)
	now := start
	end := start.Add(40 * time.Second)
	calling := false
	for ; now.Before(end); now = now.Add(10 * time.Millisecond) {
		quiet := now.After(end.Add(-12 * time.Second))
		if !quiet && r.IntN(20) == 0 {
			name := fmt.Sprint("o", r.IntN(12))
			if _, ok := store.items[name]; ok && r.IntN(4) == 0 {
				store.remove(name)
			} else {
				sequence++
				store.write(name, sequence)
			}
		}
		if r.IntN(100) == 0 {
			copies = append(copies, store.copyOf())
		}
		if !quiet && len(copies) > 0 && r.IntN(400) == 0 {
			store.restore(copies[r.IntN(len(copies))])
			restoredAt, rewriteAt, rewriteDue = now, now.Add(time.Duration(r.Int64N(int64(maxRewriteTime)))), true
		}
		if rewriteDue && now.After(rewriteAt) {
			rewrite(store)
			rewriteDue = false
		}
		if !calling {
			calling = true
			inFlight = append(inFlight, callStore(r, store, objects, &tracker, now, func() { calling = false }))
		}
		for i := 0; i < len(inFlight); {
			if inFlight[i].at.After(now) {
				i++
				continue
			}
			inFlight[i].apply()
			inFlight = slices.Delete(inFlight, i, i+1)
		}
		objects.Settle(now)
		if err := checkShown(objects.Current(now), shown, now, restoredAt); err != nil {
			return fmt.Errorf("after %v: %w", now.Sub(start), err)
		}
	}
	return compareWithTruth(objects.Current(now), store.truth)
}

// rewrite writes what a restore has lost.
func rewrite(store *simulatedStore) {
	truth := maps.Clone(store.truth)
	for _, name := range slices.Sorted(maps.Keys(store.items)) {
		if _, ok := truth[name]; !ok {
			store.remove(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(truth)) {
		store.write(name, truth[name])
	}
}

// callStore sends a list or a watch. Its answer is of the time at which it is sent, and
// arrives later; some arrive when another answer has been applied.
func callStore(r *rand.Rand, store *simulatedStore, objects *Objects, tracker *Tracker, now time.Time, done func()) answer {
	at := now.Add(time.Duration(5+r.IntN(60)) * time.Millisecond)
	if r.IntN(30) == 0 {
		at = now.Add(time.Duration(r.Int64N(int64(maxAnswerTime))))
	}
	to := Position{Era: store.era, Revision: store.revision}
	if !objects.IsListed() {
		items := maps.Clone(store.items)
		return answer{at: at, sentAt: now, apply: func() {
			done()
			if tracker.Observe(to.Era, true, at) != Outdated {
				objects.List(to, items, at)
			}
		}}
	}
	from := objects.Position()
	gone := from.Revision > store.revision
	var events []Event
	for _, h := range store.history {
		if h.revision > from.Revision {
			events = append(events, h.event)
		}
	}
	return answer{at: at, sentAt: now, apply: func() {
		done()
		if tracker.Observe(to.Era, true, at) == Outdated {
			return
		}
		if gone || !objects.Watch(from, to, events, at) {
			objects.Unlist()
		}
	}}
}

// checkShown checks the objects that count against those that counted before.
func checkShown(current map[string]json.RawMessage, shown map[string]seen, now, restoredAt time.Time) error {
	for name, raw := range current {
		var s state
		if err := json.Unmarshal(raw, &s); err != nil {
			return err
		}
		before, ok := shown[name]
		switch {
		case ok && s.Sequence < before.sequence:
			return fmt.Errorf("%s went back from state %d to %d", name, before.sequence, s.Sequence)
		case ok && before.removed && s.Sequence == before.sequence && now.Sub(restoredAt) < testPolicy.HideRemoved/2:
			return fmt.Errorf("%s is back in state %d, in which it was removed", name, s.Sequence)
		}
		shown[name] = seen{sequence: s.Sequence, at: now}
	}
	for name, before := range shown {
		if _, ok := current[name]; !ok {
			before.removed = true
			shown[name] = before
		}
	}
	return nil
}

func compareWithTruth(current map[string]json.RawMessage, truth map[string]uint64) error {
	for name, sequence := range truth {
		var s state
		if json.Unmarshal(current[name], &s) != nil || s.Sequence != sequence {
			return fmt.Errorf("%s is %s at the end, want state %d", name, current[name], sequence)
		}
	}
	if len(current) != len(truth) {
		return fmt.Errorf("%d objects at the end, want %d", len(current), len(truth))
	}
	return nil
}
