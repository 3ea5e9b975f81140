package tablestore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// maxRestoreDelay is the longest random delay before the table is written again after the
// platform's store has come back from a copy. The first entry writes, the others find it.
const maxRestoreDelay = 1500 * time.Millisecond

// restoreStored writes the current table again if the platform's store has come back from a
// copy with an older one. It tries until the store has this version or a newer one.
func (s *Store) restoreStored(ctx context.Context) {
	pause.Sleep(ctx, time.Duration(rand.Int64N(int64(maxRestoreDelay))))
	retryBackoff := pause.NewBackoff(minRetryPause, maxRetryPause)
	for ctx.Err() == nil {
		written, err := s.writeLost(ctx)
		if err == nil {
			if written > 0 {
				s.log.WithField("version", written).Info("table written again, the store has come back from a copy with an older one")
			}
			return
		}
		s.log.WithError(err).Debug("table could not be written again; retrying")
		pause.Sleep(ctx, retryBackoff.NextBackOff())
	}
}

// writeLost writes the current table if the store has an older one. It returns the version
// that it wrote, 0 if none was lost.
func (s *Store) writeLost(ctx context.Context) (uint64, error) {
	s.mu.Lock()
	current := s.replica.Head()
	s.mu.Unlock()
	if current.Version == 0 {
		return 0, nil
	}
	stored, resourceVersion := &table.Head{}, ""
	o, err := s.objects.Get(ctx, HeadKind, HeadName)
	switch {
	case err == nil:
		resourceVersion = o.Metadata.ResourceVersion
		if stored, err = decodeHead(o); err != nil {
			return 0, err
		}
	case !errors.Is(err, objects.ErrNotFound):
		return 0, err
	}
	if stored.Version >= current.Version {
		return 0, nil
	}
	for _, ref := range current.Pages {
		p, ok := s.page(ref.Hash())
		if !ok {
			return 0, errors.Errorf("page %s is no longer known; a newer table has been applied", ref.Name)
		}
		if err := s.createPage(ctx, ref.Name, p); err != nil {
			return 0, err
		}
	}
	return current.Version, s.createOrUpdateHead(ctx, &write{head: current, resourceVersion: resourceVersion})
}
