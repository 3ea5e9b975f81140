// Package tablestore keeps the newest table at an entry. It learns versions
// from the platform's store and from other entries, and never goes back to an
// older one.
package tablestore

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Kind and Name identify the object that holds the table.
const (
	Kind = "tables"
	Name = "current"
)

// Store keeps the newest table.
type Store struct {
	objects objects.Store
	log     *logrus.Entry

	mu        sync.Mutex
	index     *table.Index
	listeners []func(*table.Index)
}

// New returns a store that holds no table yet.
func New(o objects.Store) *Store {
	return &Store{objects: o, log: logging.For("table")}
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

// Offer takes a table if it is newer than the one held, and reports whether it
// was.
func (s *Store) Offer(t *table.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index != nil && t.Version <= s.index.Table().Version {
		return false
	}
	s.index = table.NewIndex(t)
	s.log.WithField("version", t.Version).Info("table in force")
	for _, fn := range s.listeners {
		fn(s.index)
	}
	return true
}

// Watch follows the platform's store until ctx ends.
func (s *Store) Watch(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 100 * time.Millisecond
	pause.MaxInterval = 2 * time.Second
	for ctx.Err() == nil {
		err := s.objects.Watch(ctx, Kind, func(e objects.Event) {
			pause.Reset()
			s.take(e.Object)
		})
		s.log.WithError(err).Debug("watch ended")
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

func (s *Store) take(o objects.Object) {
	if o.Metadata.Name != Name {
		return
	}
	var t table.Table
	if err := json.Unmarshal(o.Spec, &t); err != nil {
		s.log.WithError(err).Error("stored table can't be read")
		return
	}
	s.Offer(&t)
}

// Read reads the table from the platform's store. A missing table is empty, at
// version 0.
func (s *Store) Read(ctx context.Context) (*table.Table, string, error) {
	o, err := s.objects.Get(ctx, Kind, Name)
	if errors.Is(err, objects.ErrNotFound) {
		return &table.Table{}, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	var t table.Table
	if err := json.Unmarshal(o.Spec, &t); err != nil {
		return nil, "", errors.Wrap(err, "stored table can't be read; restore an earlier one")
	}
	s.Offer(&t)
	return &t, o.Metadata.ResourceVersion, nil
}

// Write writes the successor of a table that Read returned with the given
// resource version. It returns objects.ErrConflict when the table has changed
// since.
func (s *Store) Write(ctx context.Context, t *table.Table, resourceVersion string) error {
	t.Version++
	var err error
	if resourceVersion == "" {
		_, err = s.objects.Create(ctx, Kind, Name, t)
		if errors.Is(err, objects.ErrExists) {
			err = objects.ErrConflict
		}
	} else {
		_, err = s.objects.Update(ctx, Kind, Name, resourceVersion, t)
	}
	if err != nil {
		return err
	}
	s.Offer(t)
	return nil
}
