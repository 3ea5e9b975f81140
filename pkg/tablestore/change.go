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

// Bounds of a change.
const (
	// retryPause and maxRetryPause bound the time between two tries of a call.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// cleanupTimeout bounds the removal of pages.
	cleanupTimeout = 10 * time.Second
	// writeIDLength is the length of a write's ID in characters.
	writeIDLength = 12
)

// Edit changes a draft. An error gives the change up.
type Edit func(*Draft) error

// Change reads the table from the platform's store, edits it, and writes it. A
// change that another one overtook is edited again on the newer table. The
// table that Change returns was accepted: it is in the store.
func (s *Store) Change(ctx context.Context, edit Edit) (*table.Table, error) {
	for {
		w, base, err := s.draft(ctx, edit)
		if err != nil {
			return nil, err
		}
		if w == nil {
			return base, nil
		}
		verdict := s.commit(ctx, w)
		if verdict == nil {
			return s.accepted(w)
		}
		if !errors.Is(verdict, objects.ErrConflict) {
			return nil, verdict
		}
		go s.remove(names(w))
	}
}

// draft reads and edits the table. It returns no write when nothing changes.
func (s *Store) draft(ctx context.Context, edit Edit) (*write, *table.Table, error) {
	head, version, err := s.readHead(ctx)
	if err != nil {
		return nil, nil, notWritten(err)
	}
	base, err := s.join(ctx, head)
	if err != nil {
		return nil, nil, notWritten(err)
	}
	d := &Draft{Table: base.Clone(), settled: head.Settled, check: s.Check}
	s.complete(d.Table)
	if err := edit(d); err != nil {
		return nil, nil, err
	}
	id := strings.ReplaceAll(uuid.NewString(), "-", "")[:writeIDLength]
	w, err := prepare(head, version, d, id, time.Now())
	return w, base, err
}

// notWritten returns ErrNotWritten with its cause. What objects.ErrUnavailable
// says of writes does not hold for reads and pages, so it is left out.
func notWritten(err error) error {
	if errors.Is(err, objects.ErrUnavailable) {
		return ErrNotWritten
	}
	return errors.Wrap(ErrNotWritten, err.Error())
}

// join returns the table of a head, after bringing it in force.
func (s *Store) join(ctx context.Context, head *table.Head) (*table.Table, error) {
	if err := s.take(ctx, head, s.platformPage); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Head().Version != head.Version {
		return nil, ErrStaleRead
	}
	if s.holder.Table() == nil {
		return &table.Table{}, nil
	}
	return s.holder.Table(), nil
}

// commit writes the new pages and then the head.
func (s *Store) commit(ctx context.Context, w *write) error {
	group, pageCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxFetches)
	for name, p := range w.pages {
		group.Go(func() error { return s.createPage(pageCtx, name, p) })
	}
	if err := group.Wait(); err != nil {
		return notWritten(err)
	}
	return s.writeHead(ctx, w)
}

// createPage writes a page until it is in the store. The page's name belongs to
// this write alone, so one that exists is its own.
func (s *Store) createPage(ctx context.Context, name string, p table.Page) error {
	_, err := backoff.Retry(ctx, func() (objects.Object, error) {
		o, err := s.objects.Create(ctx, PageKind, name, p)
		if err == nil {
			return o, nil
		}
		return s.objects.Get(ctx, PageKind, name)
	}, backoff.WithBackOff(pause.NewBackoff(retryPause, maxRetryPause)))
	return err
}

// writeHead writes the head until it is known what became of it. A write whose
// answer was lost is read again and recognised by its ID, and sent again while
// it can still take effect.
func (s *Store) writeHead(ctx context.Context, w *write) error {
	between := pause.NewBackoff(retryPause, maxRetryPause)
	for {
		err := s.putHead(ctx, w)
		if err == nil {
			return nil
		}
		verdict, err := s.judge(ctx, w)
		switch {
		case err != nil || verdict == tablesync.WritePending:
		case verdict == tablesync.WriteAccepted:
			return nil
		case verdict == tablesync.WriteConflict:
			return objects.ErrConflict
		default:
			return ErrOutcomeUnknown
		}
		if pause.Sleep(ctx, between.NextBackOff()); ctx.Err() != nil {
			return ErrOutcomeUnknown
		}
	}
}

func (s *Store) putHead(ctx context.Context, w *write) error {
	if w.version == "" {
		_, err := s.objects.Create(ctx, HeadKind, HeadName, w.head)
		return err
	}
	_, err := s.objects.Update(ctx, HeadKind, HeadName, w.version, w.head)
	return err
}

func (s *Store) judge(ctx context.Context, w *write) (tablesync.WriteOutcome, error) {
	read, _, err := s.readHead(ctx)
	if err != nil {
		return tablesync.WritePending, err
	}
	return tablesync.ResolveWrite(read, w.base, w.id), nil
}

// accepted brings an accepted write in force.
func (s *Store) accepted(w *write) (*table.Table, error) {
	pages := slices.Collect(maps.Values(w.pages))
	if err := s.apply(w.head, pages); err != nil {
		return nil, err
	}
	go s.remove(w.expired)
	w.table.Version = w.head.Version
	return w.table, nil
}

func names(w *write) []table.RetiredPage {
	var pages []table.RetiredPage
	for name := range w.pages {
		pages = append(pages, table.RetiredPage{Name: name})
	}
	return pages
}

// remove removes pages that no head can name any more.
func (s *Store) remove(pages []table.RetiredPage) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	for _, p := range pages {
		if err := s.objects.Delete(ctx, PageKind, p.Name); err != nil {
			s.log.WithError(err).WithField("page", p.Name).Debug("page not removed")
		}
	}
}
