package tablestore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Bounds of the watch of the platform's store.
const (
	// WatchTimeout is after how long a watch of the object API is opened anew.
	WatchTimeout = 10 * time.Second
	// watchPause and maxWatchPause bound the time between two watches.
	watchPause    = 100 * time.Millisecond
	maxWatchPause = 2 * time.Second
	// fetchTimeout bounds the fetching of the pages of one version.
	fetchTimeout = 5 * time.Second
)

// ErrStaleRead means that the platform's store answered with an older table
// than one that it had accepted.
var ErrStaleRead = errors.New("the store answered with an older table than the one in force; try again")

// Watch follows the platform's store until ctx ends.
func (s *Store) Watch(ctx context.Context) {
	between := pause.NewBackoff(watchPause, maxWatchPause)
	for ctx.Err() == nil {
		err := s.watchOnce(ctx, between.Reset)
		s.log.WithError(err).Debug("watch ended")
		pause.Sleep(ctx, between.NextBackOff())
	}
}

// watchOnce follows one watch until it ends, or until a version that it told of
// could not be read.
func (s *Store) watchOnce(ctx context.Context, answered func()) error {
	ctx, cancel := s.bounded(ctx)
	defer cancel()
	err := s.objects.Watch(ctx, HeadKind, func(e objects.Event) {
		answered()
		s.sawPlatform(nil)
		if err := s.takeObject(ctx, e.Object); err != nil {
			s.log.WithError(err).Warn("table not read")
			cancel()
		}
	})
	if ctx.Err() == nil {
		s.sawPlatform(err)
	}
	return err
}

// bounded returns a context that ends when a watch is due to be opened anew.
func (s *Store) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.cfg.WatchTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.cfg.WatchTimeout)
}

func (s *Store) takeObject(ctx context.Context, o objects.Object) error {
	if o.Metadata.Name != HeadName {
		return nil
	}
	head, err := decodeHead(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.take(ctx, head, s.platformPage)
}

func decodeHead(o objects.Object) (*table.Head, error) {
	var head table.Head
	if err := json.Unmarshal(o.Spec, &head); err != nil {
		return nil, errors.Wrap(err, "stored table can't be read; restore an earlier one")
	}
	return &head, nil
}

// platformPage reads a page from the platform's store.
func (s *Store) platformPage(ctx context.Context, ref table.PageRef) (table.Page, error) {
	var p table.Page
	o, err := s.objects.Get(ctx, PageKind, ref.Name)
	if err != nil {
		return p, err
	}
	err = json.Unmarshal(o.Spec, &p)
	return p, errors.Wrap(err, "stored page can't be read; restore an earlier table")
}

// readHead reads the head from the platform's store, with its resource version.
// A missing head is empty, at version 0.
func (s *Store) readHead(ctx context.Context) (*table.Head, string, error) {
	o, err := s.objects.Get(ctx, HeadKind, HeadName)
	if errors.Is(err, objects.ErrNotFound) {
		err = nil
		o = objects.Object{Spec: json.RawMessage(`{}`)}
	}
	s.sawPlatform(err)
	if err != nil {
		return nil, "", err
	}
	head, err := decodeHead(o)
	if err != nil {
		return nil, "", err
	}
	s.mu.Lock()
	stale := head.Version < s.holder.Head().Version
	s.mu.Unlock()
	if stale {
		return nil, "", ErrStaleRead
	}
	return head, o.Metadata.ResourceVersion, nil
}

func (s *Store) sawPlatform(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platform.Err = err
	if err == nil {
		s.platform.AnsweredAt = time.Now()
	}
}
