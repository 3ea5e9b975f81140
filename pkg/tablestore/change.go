package tablestore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Errors of a change.
var (
	// ErrNotWritten means that a change was not written and never will be.
	ErrNotWritten = errors.New("the change was not written; repeat it once the platform's store answers")
	// ErrOutcomeUnknown means that a change may have been written.
	ErrOutcomeUnknown = errors.New("it is unknown whether the change was written; read the table, and repeat the change if it is not there")
)

// Limits of a change.
const (
	// minRetryPause and maxRetryPause limit the backoff between two tries of a call.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// cleanupTimeout limits the time for the deletion of pages.
	cleanupTimeout = 10 * time.Second
	// writeIDLength is the length of a write's ID in characters.
	writeIDLength = 12
)

// Edit modifies a draft. If it returns an error, the change is cancelled.
type Edit func(*Draft) error

// Change reads the table from the platform's store, calls edit on it and writes it. If
// another change took effect in between, edit is called again on the newer table. The
// returned table was accepted: it is in the store.
func (s *Store) Change(ctx context.Context, edit Edit) (*table.Table, error) {
	for {
		w, base, err := s.prepareWrite(ctx, edit)
		if err != nil {
			return nil, err
		}
		if w == nil {
			return base, nil
		}
		commitErr := s.commit(ctx, w)
		if commitErr == nil {
			return s.applyAccepted(w)
		}
		if !errors.Is(commitErr, objects.ErrConflict) {
			return nil, commitErr
		}
		go s.deletePages(createdPages(w))
	}
}

// prepareWrite reads and edits the table and prepares the write of the result. It returns
// the write, which is nil when nothing changes, and the table that was read.
func (s *Store) prepareWrite(ctx context.Context, edit Edit) (*write, *table.Table, error) {
	head, resourceVersion, err := s.readHead(ctx)
	if err != nil {
		return nil, nil, wrapNotWritten(err)
	}
	base, err := s.loadTable(ctx, head)
	if err != nil {
		return nil, nil, wrapNotWritten(err)
	}
	d := &Draft{Table: base.Clone(), settled: head.Settled, check: s.Check}
	s.addPlatformRows(d.Table)
	if err := edit(d); err != nil {
		return nil, nil, err
	}
	id := strings.ReplaceAll(uuid.NewString(), "-", "")[:writeIDLength]
	w, err := newWrite(head, resourceVersion, d, id, time.Now())
	return w, base, err
}

// wrapNotWritten returns ErrNotWritten with its cause. It omits objects.ErrUnavailable,
// whose text states that a write may have taken effect. That does not apply to reads and
// to writes of pages.
func wrapNotWritten(err error) error {
	if errors.Is(err, objects.ErrUnavailable) {
		return ErrNotWritten
	}
	return errors.Wrap(ErrNotWritten, err.Error())
}

// loadTable applies a head from the platform's store and returns its table.
func (s *Store) loadTable(ctx context.Context, head *table.Head) (*table.Table, error) {
	if err := s.fetchAndApply(ctx, head, s.platformPage); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica.Head().Version != head.Version {
		return nil, ErrStaleRead
	}
	if s.replica.Table() == nil {
		return &table.Table{}, nil
	}
	return s.replica.Table(), nil
}

// commit writes the new pages and then the head.
func (s *Store) commit(ctx context.Context, w *write) error {
	group, pageCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentPages)
	for name, p := range w.pages {
		group.Go(func() error { return s.createPage(pageCtx, name, p) })
	}
	if err := group.Wait(); err != nil {
		return wrapNotWritten(err)
	}
	return s.writeHead(ctx, w)
}

// createPage creates a page and retries until it is in the store. Only this write uses
// the page's name, so a page that already exists was created by an earlier try.
func (s *Store) createPage(ctx context.Context, name string, p table.Page) error {
	_, err := backoff.Retry(ctx, func() (objects.Object, error) {
		o, err := s.objects.Create(ctx, PageKind, name, p)
		if err == nil {
			return o, nil
		}
		return s.objects.Get(ctx, PageKind, name)
	}, backoff.WithBackOff(pause.NewBackoff(minRetryPause, maxRetryPause)))
	return err
}

// writeHead writes the head and retries until the outcome is known. After an error it
// reads the head and looks up the write's ID in its write records. It sends the write
// again while it can still take effect.
func (s *Store) writeHead(ctx context.Context, w *write) error {
	retryBackoff := pause.NewBackoff(minRetryPause, maxRetryPause)
	for {
		err := s.createOrUpdateHead(ctx, w)
		if err == nil {
			return nil
		}
		outcome, err := s.resolveWrite(ctx, w)
		switch {
		case err != nil || outcome == tablesync.WritePending:
		case outcome == tablesync.WriteAccepted:
			return nil
		case outcome == tablesync.WriteConflict:
			return objects.ErrConflict
		default:
			return ErrOutcomeUnknown
		}
		if pause.Sleep(ctx, retryBackoff.NextBackOff()); ctx.Err() != nil {
			return ErrOutcomeUnknown
		}
	}
}

func (s *Store) createOrUpdateHead(ctx context.Context, w *write) error {
	if w.resourceVersion == "" {
		_, err := s.objects.Create(ctx, HeadKind, HeadName, w.head)
		return err
	}
	_, err := s.objects.Update(ctx, HeadKind, HeadName, w.resourceVersion, w.head)
	return err
}

// resolveWrite reads the head and returns the outcome of a write whose response is missing.
func (s *Store) resolveWrite(ctx context.Context, w *write) (tablesync.WriteOutcome, error) {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return tablesync.WritePending, err
	}
	return tablesync.ResolveWrite(head, w.baseVersion, w.id), nil
}

// applyAccepted applies an accepted write at this entry.
func (s *Store) applyAccepted(w *write) (*table.Table, error) {
	pages := slices.Collect(maps.Values(w.pages))
	if err := s.apply(w.head, pages); err != nil {
		return nil, err
	}
	go s.deletePages(w.expired)
	w.table.Version = w.head.Version
	return w.table, nil
}

// createdPages returns the pages of a write that was not accepted.
func createdPages(w *write) []table.RetiredPage {
	var pages []table.RetiredPage
	for name := range w.pages {
		pages = append(pages, table.RetiredPage{Name: name})
	}
	return pages
}

// deletePages deletes pages that no head can refer to any more.
func (s *Store) deletePages(pages []table.RetiredPage) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	for _, p := range pages {
		if err := s.objects.Delete(ctx, PageKind, p.Name); err != nil {
			s.log.WithError(err).WithField("page", p.Name).Debug("page could not be deleted")
		}
	}
}
