// Package tablestore holds the newest table at an entry. It receives versions from the
// platform's store and from other entries, and never returns to an older one.
//
// The platform's store holds the table as pages of organisations, which are never
// modified, and one head that refers to them. The head is written last, by a conditional
// update, so that a change takes effect either completely or not at all.
//
// A mark that takes a failure domain or an upstream out of service applies at once, also
// while the platform's store is unreachable. It is provisional until an entry has settled
// it, which means that it has written the mark into the table.
package tablestore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/marks"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Kinds and names of the stored objects.
const (
	HeadKind = "tables"
	HeadName = "current"
	PageKind = "tablepages"
)

// Objects is the part of the platform's object API that a Store uses.
type Objects interface {
	objects.Store
	objects.Deleter
}

// Config holds the settings of a Store.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// WatchTimeout is the time after which a watch is reopened, so that a stalled one
	// does not go unnoticed. 0 is for a platform's store that detects stalled watches
	// itself.
	WatchTimeout time.Duration
	// PlatformTable returns the configuration that the platform provides in addition to
	// the table: organisations with their keys, services and failure domains. It is nil
	// when the table holds all of them, and returns nil while they are not known.
	PlatformTable func() *table.Table
}

// Store holds the newest table of an entry. It is safe for concurrent use.
type Store struct {
	objects Objects
	cfg     Config
	log     *logrus.Entry

	mu        sync.Mutex
	replica   tablesync.Replica
	marks     marks.Set
	index     *table.Index
	listeners []func(*table.Index)
	// changed is closed, and replaced, at each change of the table or its marks.
	changed        chan struct{}
	platformStatus PlatformStatus
}

// PlatformStatus is the status of the platform's store as an entry observes it.
type PlatformStatus struct {
	// RespondedAt is the time of the store's last response.
	RespondedAt time.Time
	// Err is the error of the latest call, or nil.
	Err error
}

// New returns the store of an entry. It has no table yet.
func New(o Objects, cfg Config) *Store {
	return &Store{objects: o, cfg: cfg, log: logging.For("table"), changed: make(chan struct{})}
}

// Subscribe registers fn, which is called after each later change of the table or its
// marks. It is called under the store's lock and must not call the store.
func (s *Store) Subscribe(fn func(*table.Index)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, fn)
}

// Index returns the newest table, or nil when none has been received yet.
func (s *Store) Index() *table.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Marks returns the current marks, including those not yet in the table.
func (s *Store) Marks() api.Marks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marks.Marks()
}

// PlatformStatus returns the status of the platform's store.
func (s *Store) PlatformStatus() PlatformStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.platformStatus
}

// pageSource fetches a page.
type pageSource func(ctx context.Context, ref table.PageRef) (table.Page, error)

// maxConcurrentPages is the number of pages that are fetched or written concurrently.
const maxConcurrentPages = 8

// fetchAndApply fetches the pages that are missing for a newer head, and applies it. An
// older head is ignored.
func (s *Store) fetchAndApply(ctx context.Context, head *table.Head, source pageSource) error {
	s.mu.Lock()
	newer := head.Version > s.replica.Head().Version
	missing := s.replica.Missing(head)
	s.mu.Unlock()
	if !newer {
		return nil
	}
	pages, err := fetchPages(ctx, missing, source)
	if err != nil {
		return err
	}
	return s.apply(head, pages)
}

func fetchPages(ctx context.Context, refs []table.PageRef, source pageSource) ([]table.Page, error) {
	pages := make([]table.Page, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentPages)
	for i, ref := range refs {
		group.Go(func() error {
			p, err := source(ctx, ref)
			if err != nil {
				return err
			}
			pages[i] = p
			return tablesync.CheckPage(ref, p)
		})
	}
	return pages, group.Wait()
}

// apply makes a newer head the current one, with the pages that were missing.
func (s *Store) apply(head *table.Head, pages []table.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.replica.Apply(head, pages)
	if errors.Is(err, tablesync.ErrNotNewer) {
		return nil
	}
	if err != nil {
		return err
	}
	s.marks.Merge(head.Marks())
	s.index = table.NewIndex(s.replica.Table())
	s.log.WithField("version", head.Version).Info("table updated")
	s.notify()
	return nil
}

// MergeProvisional applies marks that are not yet in the table.
func (s *Store) MergeProvisional(provisional []api.ProvisionalMark) {
	if len(provisional) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marks.Merge(api.Marks{Provisional: provisional}) {
		return
	}
	s.log.WithField("marks", len(s.marks.Marks().Provisional)).Warn("provisional marks apply that are not yet in the table")
	s.notify()
}

// notify notifies listeners and waiting peers of a change. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	if s.index == nil {
		return
	}
	s.index = s.index.WithMarks(s.marks)
	for _, fn := range s.listeners {
		fn(s.index)
	}
}

// page returns a page of the current table by its hash.
func (s *Store) page(hash string) (table.Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Page(hash)
}
