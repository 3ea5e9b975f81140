package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// sent is an attempt on its way.
type sent struct {
	service      *service
	upstream     string
	organisation string
	started      bool
	at           time.Time
}

// Started records that the upstream has started to answer an attempt, and
// returns the grants that follow.
func (s *Scheduler) Started(id string, now time.Time) []Grant {
	a, ok := s.sent[id]
	if !ok || a.started {
		return nil
	}
	a.started = true
	a.service.candidate(a.upstream).start(a.organisation)
	return s.grants(a.service, now)
}

// Ended records that an attempt has ended. failed is true when it broke or was
// refused.
func (s *Scheduler) Ended(id string, failed bool, now time.Time) []Grant {
	a, ok := s.sent[id]
	if !ok {
		return nil
	}
	delete(s.sent, id)
	c := a.service.candidate(a.upstream)
	c.InFlight--
	c.SinceReport = max(0, c.SinceReport-1)
	if !a.started {
		c.start(a.organisation)
	}
	if !failed {
		a.service.runTime.observe(now.Sub(a.at))
	}
	if failed {
		c.AvoidUntil = now.Add(s.cfg.AvoidAfterFailure)
		c.Suspect = true
	}
	s.removeGone(a.service, c)
	return s.grants(a.service, now)
}

// candidate is an upstream with the attempts of this entry.
type candidate struct{ *selection.Candidate }

// send counts an attempt that is sent.
func (c candidate) send(organisation string, priority bool) {
	if priority {
		c.PrioritySince++
	}
	c.InFlight++
	c.SinceReport++
	c.Pending++
	c.PendingOf[organisation]++
}

// start counts an attempt that waits no longer.
func (c candidate) start(organisation string) {
	c.Pending--
	c.PendingOf[organisation]--
	if c.PendingOf[organisation] == 0 {
		delete(c.PendingOf, organisation)
	}
}
