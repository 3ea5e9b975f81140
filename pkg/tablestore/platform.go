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

// Limits of the watch of the platform's store.
const (
	// WatchTimeout is the time after which a watch of the object API is reopened.
	WatchTimeout = 10 * time.Second
	// minWatchPause and maxWatchPause limit the backoff between two watches.
	minWatchPause = 100 * time.Millisecond
	maxWatchPause = 2 * time.Second
	// fetchTimeout limits the time for fetching the pages of one version.
	fetchTimeout = 5 * time.Second
)

// ErrStaleRead means that the platform's store returned an older table than one that it
// had accepted.
var ErrStaleRead = errors.New("the store answered with an older table than the one in force; try again")

// Watch applies each version of the table that the platform's store reports, until ctx
// ends.
func (s *Store) Watch(ctx context.Context) {
	watchBackoff := pause.NewBackoff(minWatchPause, maxWatchPause)
	for ctx.Err() == nil {
		err := s.watchOnce(ctx, watchBackoff.Reset)
		s.log.WithError(err).Debug("watch of the table ended")
		pause.Sleep(ctx, watchBackoff.NextBackOff())
	}
}

// watchOnce runs one watch until it ends, or until a version that it reported could not be
// read. onEvent is called at each event, until such a version.
func (s *Store) watchOnce(parent context.Context, onEvent func()) error {
	ctx, cancel := s.watchContext(parent)
	defer cancel()
	unreadable := false
	err := s.objects.Watch(ctx, HeadKind, func(e objects.Event) {
		s.recordPlatformCall(nil)
		if e.Type == objects.Restored {
			onEvent()
			// The watch may end before the table is written.
			go s.restoreStored(parent)
			return
		}
		if err := s.applyObject(ctx, e.Object); err != nil {
			s.log.WithError(err).Warn("table version could not be read, reopening the watch")
			unreadable = true
			cancel()
		}
		if !unreadable {
			onEvent()
		}
	})
	if ctx.Err() == nil {
		s.recordPlatformCall(err)
	}
	return err
}

// watchContext returns a context that ends when a watch is due to be reopened.
func (s *Store) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.cfg.WatchTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.cfg.WatchTimeout)
}

func (s *Store) applyObject(ctx context.Context, o objects.Object) error {
	if o.Metadata.Name != HeadName {
		return nil
	}
	head, err := decodeHead(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.fetchAndApply(ctx, head, s.platformPage)
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

// readHead reads the head from the platform's store, and its resource version. If no head
// is stored, it returns an empty one at version 0.
func (s *Store) readHead(ctx context.Context) (*table.Head, string, error) {
	o, err := s.objects.Get(ctx, HeadKind, HeadName)
	if errors.Is(err, objects.ErrNotFound) {
		err = nil
		o = objects.Object{Spec: json.RawMessage(`{}`)}
	}
	s.recordPlatformCall(err)
	if err != nil {
		return nil, "", err
	}
	head, err := decodeHead(o)
	if err != nil {
		return nil, "", err
	}
	s.mu.Lock()
	stale := head.Version < s.replica.Head().Version
	s.mu.Unlock()
	if stale {
		return nil, "", ErrStaleRead
	}
	return head, o.Metadata.ResourceVersion, nil
}

// recordPlatformCall records the result of a call of the platform's store.
func (s *Store) recordPlatformCall(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformStatus.Err = err
	if err == nil {
		s.platformStatus.RespondedAt = time.Now()
	}
}
