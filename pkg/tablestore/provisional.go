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

// Intervals and timeout of the writing of provisional marks.
const (
	// settleInterval is the time between two tries at the entry that received the
	// operator's request.
	settleInterval = time.Second
	// otherEntrySettleAfter and otherEntrySettleJitter are the shortest time between two
	// tries at other entries, which write a mark whose entry is gone, and the random
	// time added to it.
	otherEntrySettleAfter  = 2 * time.Second
	otherEntrySettleJitter = 4 * time.Second
	// settleTimeout limits the time of one try.
	settleTimeout = 3 * time.Second
)

// TakeOutOfService applies a mark at this entry at once, without the platform's store.
// Peers and agents receive it from this entry.
func (s *Store) TakeOutOfService(m api.ProvisionalMark) {
	sameTarget := func(other api.ProvisionalMark) bool {
		return other.FailureDomain == m.FailureDomain && other.Upstream == m.Upstream
	}
	if slices.ContainsFunc(s.Marks().Provisional, sameTarget) {
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
			settleMark(d, m)
		}
		return nil
	})
}

// settleMark writes a provisional mark into a draft, unless that was done before.
func settleMark(d *Draft, m api.ProvisionalMark) {
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

// ReturnToService settles every provisional mark and then calls edit, which returns a
// failure domain or an upstream to service. It needs the platform's store, so that no host
// that was cut off can reintroduce an older mark.
func (s *Store) ReturnToService(ctx context.Context, edit Edit) (*table.Table, error) {
	return s.Change(ctx, func(d *Draft) error {
		for _, m := range s.Marks().Provisional {
			settleMark(d, m)
		}
		return edit(d)
	})
}

// RunSettle writes provisional marks into the table whenever there are any, until ctx
// ends.
func (s *Store) RunSettle(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		delay, pending := s.settleDelay()
		var retry <-chan time.Time
		if pending {
			retry = time.After(delay)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-retry:
			s.trySettle(ctx)
		}
	}
}

// settleDelay returns how long this entry waits before it writes the provisional marks,
// and whether there are any.
func (s *Store) settleDelay() (delay time.Duration, pending bool) {
	provisional := s.Marks().Provisional
	for _, m := range provisional {
		if m.Entry == s.cfg.Entry {
			return settleInterval, true
		}
	}
	return otherEntrySettleAfter + rand.N(otherEntrySettleJitter), len(provisional) > 0
}

func (s *Store) trySettle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := s.SettleMarks(ctx); err != nil {
		s.log.WithError(err).Warn("provisional marks could not be written into the table, will be retried")
	}
}
