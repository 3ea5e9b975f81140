package tablestore

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Bounds of the writing of provisional marks.
const (
	// settleInterval is the time between two tries of the entry that took the
	// operator's order.
	settleInterval = time.Second
	// othersSettleAfter and othersSettleSpread bound the time between two tries
	// of other entries, which write a mark whose entry is gone.
	othersSettleAfter  = 2 * time.Second
	othersSettleSpread = 4 * time.Second
	// settleTimeout bounds one try.
	settleTimeout = 3 * time.Second
)

// TakeOutOfService brings a mark in force at this entry at once, without the platform's
// store. Peers and agents learn it from here.
func (s *Store) TakeOutOfService(m api.ProvisionalMark) {
	pending := func(held api.ProvisionalMark) bool {
		return held.FailureDomain == m.FailureDomain && held.Upstream == m.Upstream
	}
	if slices.ContainsFunc(s.Marks().Provisional, pending) {
		return
	}
	m.ID = uuid.NewString()
	m.Entry = s.cfg.Entry
	s.MergeProvisional([]api.ProvisionalMark{m})
}

// SettleMarks writes all provisional marks into the table.
func (s *Store) SettleMarks(ctx context.Context) (*table.Table, error) {
	return s.Change(ctx, func(d *Draft) error {
		for _, m := range s.Marks().Provisional {
			settle(d, m)
		}
		return nil
	})
}

func settle(d *Draft, m api.ProvisionalMark) {
	if d.IsSettled(m.ID) {
		return
	}
	if m.Upstream != "" {
		d.SetUpstreamOut(m.Upstream, true)
	} else {
		d.SetFailureDomainOut(m.FailureDomain, true)
	}
	d.MarkSettled(m.ID)
}

// ReturnToService edits a mark to be in service, after settling every provisional mark. It needs the
// platform's store, so that no host that was cut off can bring an older mark back.
func (s *Store) ReturnToService(ctx context.Context, edit Edit) (*table.Table, error) {
	return s.Change(ctx, func(d *Draft) error {
		for _, held := range s.Marks().Provisional {
			settle(d, held)
		}
		return edit(d)
	})
}

// RunSettle writes provisional marks into the table whenever there are
// any, until ctx ends.
func (s *Store) RunSettle(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		pause, pending := s.settlePause()
		var retry <-chan time.Time
		if pending {
			retry = time.After(pause)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-retry:
			s.trySettle(ctx)
		}
	}
}

// settlePause returns how long this entry waits before it writes the marks.
func (s *Store) settlePause() (pause time.Duration, pending bool) {
	provisional := s.Marks().Provisional
	for _, m := range provisional {
		if m.Entry == s.cfg.Entry {
			return settleInterval, true
		}
	}
	return othersSettleAfter + rand.N(othersSettleSpread), len(provisional) > 0
}

func (s *Store) trySettle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := s.SettleMarks(ctx); err != nil {
		s.log.WithError(err).Warn("marks not yet written into the table")
	}
}
