package crashguard

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
)

// Kind is the kind of object that holds a report.
const Kind = "acaciaglade-losses"

// Times of the store.
const (
	// writeInterval is the longest time between two looks for reports to write or delete.
	writeInterval = 10 * time.Second
	// maxWriteDelay is the longest random delay before a write by an entry that had no
	// request at the upstream that ended. Usually one that had has written by then.
	maxWriteDelay   = 2 * time.Second
	minWriteBackoff = 200 * time.Millisecond
	maxWriteBackoff = 5 * time.Second
)

// Store is the platform's store of reports.
type Store interface {
	objects.Store
	objects.Deleter
}

// storedReport is a report in the store.
type storedReport struct {
	quarantine.Report
	// LostAtUnixMilli is when the upstream ended, in Unix milliseconds. Clocks of hosts
	// differ by seconds, which is little beside the time of a quarantine.
	LostAtUnixMilli int64 `json:"lost_at_unix_ms"`
}

// storedReports are the reports in the store, by name of the object.
type storedReports struct {
	mu      sync.Mutex
	objects map[string]storedObject
}

type storedObject struct {
	version string
	report  quarantine.Report
}

func newStoredReports() *storedReports { return &storedReports{objects: make(map[string]storedObject)} }

func (s *storedReports) set(name string, o storedObject) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = o
}

func (s *storedReports) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
}

// all returns a copy of the objects.
func (s *storedReports) all() map[string]storedObject {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]storedObject, len(s.objects))
	for name, o := range s.objects {
		out[name] = o
	}
	return out
}

// objectName returns the name of the object of a report.
func objectName(r *quarantine.Report) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(r.Upstream+"/"+r.Incarnation))
}

// watchStore merges the reports in the store.
func (g *Guard) watchStore(ctx context.Context) {
	backoff := pause.NewBackoff(minWriteBackoff, maxWriteBackoff)
	for ctx.Err() == nil {
		err := g.cfg.Store.Watch(ctx, Kind, func(e objects.Event) {
			backoff.Reset()
			g.applyStored(e)
		})
		g.log.WithError(err).Debug("watch of reports ended; it is restarted")
		pause.Sleep(ctx, backoff.NextBackOff())
	}
}

func (g *Guard) applyStored(e objects.Event) {
	name := e.Object.Metadata.Name
	switch e.Type {
	case objects.Bookmark:
		g.recordSynced()
		return
	case objects.Restored:
		// What the copy lacks follows as deleted.
		return
	case objects.Deleted:
		g.stored.remove(name)
		g.wakeStore()
		return
	}
	var s storedReport
	if err := json.Unmarshal(e.Object.Spec, &s); err != nil {
		g.log.WithError(err).WithField("name", name).Warn("stored report can't be decoded, ignored")
		return
	}
	s.AgeMillis = max(0, time.Now().UnixMilli()-s.LostAtUnixMilli)
	g.stored.set(name, storedObject{version: e.Object.Metadata.ResourceVersion, report: s.Report})
	g.merge([]quarantine.Report{s.Report})
	g.wakeStore()
}

// wakeStore makes writeStore look for reports to write.
func (g *Guard) wakeStore() {
	select {
	case g.storeWake <- struct{}{}:
	default:
	}
}

// writeStore writes the reports because of which parts are quarantined, and deletes those
// that are refuted or expired.
func (g *Guard) writeStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	backoff := pause.NewBackoff(minWriteBackoff, maxWriteBackoff)
	for ctx.Err() == nil {
		writes := g.pendingWrites()
		if len(writes) == 0 {
			select {
			case <-ctx.Done():
			case <-g.storeWake:
			case <-time.After(writeInterval):
			}
			continue
		}
		if !slices.ContainsFunc(writes, func(w pendingWrite) bool { return w.own }) {
			pause.Sleep(ctx, time.Duration(random.Int64N(int64(maxWriteDelay))))
			writes = g.pendingWrites()
		}
		if err := g.writeAll(ctx, writes); err != nil {
			wait := backoff.NextBackOff()
			g.log.WithError(err).WithField("again_ms", wait.Milliseconds()).Info("report not written to the store; retrying")
			pause.Sleep(ctx, wait)
			continue
		}
		backoff.Reset()
	}
}

// writeAll makes changes of the store until one fails.
func (g *Guard) writeAll(ctx context.Context, writes []pendingWrite) error {
	for i := range writes {
		if err := g.write(ctx, &writes[i]); err != nil {
			return err
		}
	}
	return nil
}

// pendingWrite is a change of one object that is due.
type pendingWrite struct {
	name    string
	report  quarantine.Report
	version string
	remove  bool
	// own is true if this entry had requests at the upstream that had not begun.
	own bool
}

// pendingWrites returns the changes of the store that are due.
func (g *Guard) pendingWrites() []pendingWrite {
	stored := g.stored.all()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var writes []pendingWrite
	for _, report := range g.quarantine.Supporting(now) {
		name := objectName(&report)
		if o, ok := stored[name]; !ok || g.quarantine.HasMore(&o.report) {
			writes = append(writes, pendingWrite{name: name, report: report, version: o.version, own: report.Observations[g.cfg.Entry].Unbegun > 0})
		}
	}
	for name, o := range stored {
		if g.quarantine.IsSettled(&o.report, now) {
			writes = append(writes, pendingWrite{name: name, report: o.report, remove: true})
		}
	}
	return writes
}

// write makes one change of the store.
func (g *Guard) write(ctx context.Context, w *pendingWrite) error {
	if w.remove {
		err := g.cfg.Store.Delete(ctx, Kind, w.name)
		if errors.Is(err, objects.ErrNotFound) {
			err = nil
		}
		if err == nil {
			g.stored.remove(w.name)
		}
		return err
	}
	spec := storedReport{Report: w.report, LostAtUnixMilli: time.Now().UnixMilli() - w.report.AgeMillis}
	var o objects.Object
	var err error
	if w.version == "" {
		o, err = g.cfg.Store.Create(ctx, Kind, w.name, spec)
	} else {
		o, err = g.cfg.Store.Update(ctx, Kind, w.name, w.version, spec)
	}
	if err == nil {
		g.stored.set(w.name, storedObject{version: o.Metadata.ResourceVersion, report: w.report})
	}
	return err
}
