// Package tablestore keeps the newest table at an entry. It learns versions
// from the platform's store and from other entries, and never goes back to an
// older one.
//
// The table is kept in the platform's store as pages of organisations, which
// never change, and one head that names them. The head is written last and only
// conditionally, so that a change is taken whole or not at all.
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

// Objects is what the store needs of the platform.
type Objects interface {
	objects.Store
	objects.Deleter
}

// Config is the settings of a store.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// WatchTimeout is after how long a watch is opened anew, so that one that has
	// gone silent is noticed. 0 is for a platform's store that notices by itself.
	WatchTimeout time.Duration
	// PlatformTable returns what the platform provides beside the table: organisations
	// with their keys, services and failure domains. It is nil when the table holds
	// all of them, and returns nil while they are not known.
	PlatformTable func() *table.Table
}

// Store keeps the newest table.
type Store struct {
	objects Objects
	cfg     Config
	log     *logrus.Entry

	mu        sync.Mutex
	holder    tablesync.Replica
	marks     marks.Set
	index     *table.Index
	listeners []func(*table.Index)
	changed   chan struct{}
	platform  PlatformStatus
}

// PlatformStatus is what an entry knows of the platform's store.
type PlatformStatus struct {
	// AnsweredAt is when the store last answered.
	AnsweredAt time.Time
	// Err is why it did not answer the latest call, or nil.
	Err error
}

// New returns a store of an entry. It holds no table yet.
func New(o Objects, cfg Config) *Store {
	return &Store{objects: o, cfg: cfg, log: logging.For("table"), changed: make(chan struct{})}
}

// Subscribe calls fn with each newer version from now on.
func (s *Store) Subscribe(fn func(*table.Index)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, fn)
}

// Index returns the newest table, or nil when none is known yet.
func (s *Store) Index() *table.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Marks returns the marks in force, with those not yet in the table.
func (s *Store) Marks() api.Marks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marks.Marks()
}

// PlatformStatus returns what is known of the platform's store.
func (s *Store) PlatformStatus() PlatformStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.platform
}

// pageSource is where pages are fetched from.
type pageSource func(ctx context.Context, ref table.PageRef) (table.Page, error)

// maxFetches is how many pages are fetched or written at once.
const maxFetches = 8

// take brings a newer head in force, after fetching the pages that are missing.
func (s *Store) take(ctx context.Context, head *table.Head, source pageSource) error {
	s.mu.Lock()
	newer := head.Version > s.holder.Head().Version
	missing := s.holder.Missing(head)
	s.mu.Unlock()
	if !newer {
		return nil
	}
	pages, err := fetch(ctx, missing, source)
	if err != nil {
		return err
	}
	return s.apply(head, pages)
}

func fetch(ctx context.Context, refs []table.PageRef, source pageSource) ([]table.Page, error) {
	pages := make([]table.Page, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxFetches)
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

// apply brings a newer head in force with the pages that were missing.
func (s *Store) apply(head *table.Head, pages []table.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.holder.Apply(head, pages)
	if errors.Is(err, tablesync.ErrNotNewer) {
		return nil
	}
	if err != nil {
		return err
	}
	s.marks.Merge(head.Marks())
	s.index = table.NewIndex(s.holder.Table())
	s.log.WithField("version", head.Version).Info("table in force")
	s.notify()
	return nil
}

// MergeProvisional takes marks that are not yet in the table.
func (s *Store) MergeProvisional(provisional []api.ProvisionalMark) {
	if len(provisional) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.marks.Merge(api.Marks{Provisional: provisional}) {
		return
	}
	s.log.WithField("marks", len(s.marks.Marks().Provisional)).Warn("marks in force that are not yet in the table")
	s.notify()
}

// notify tells listeners and waiting peers of a change. The caller holds the
// lock.
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

// page returns a page of the table in force by its hash.
func (s *Store) page(hash string) (table.Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Page(hash)
}
