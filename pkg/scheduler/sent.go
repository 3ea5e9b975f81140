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

// RecordStart records that the upstream has started to answer an attempt, and
// returns the grants that follow.
func (s *Scheduler) RecordStart(id string, now time.Time) []Decision {
	a, ok := s.sent[id]
	if !ok || a.started {
		return nil
	}
	a.started = true
	a.service.candidate(a.upstream).start(a.organisation)
	return s.grants(a.service, now)
}

// RecordEnd records that an attempt has ended. failed is true when it broke or was
// refused.
func (s *Scheduler) RecordEnd(id string, failed bool, now time.Time) []Decision {
	a, ok := s.sent[id]
	if !ok {
		return nil
	}
	delete(s.sent, id)
	c := a.service.candidate(a.upstream)
	c.InFlight--
	c.SentSinceReport = max(0, c.SentSinceReport-1)
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
		c.PrioritySentSinceReport++
	}
	c.InFlight++
	c.SentSinceReport++
	c.Pending++
	c.PendingByOrganisation[organisation]++
}

// start counts an attempt that waits no longer.
func (c candidate) start(organisation string) {
	c.Pending--
	c.PendingByOrganisation[organisation]--
	if c.PendingByOrganisation[organisation] == 0 {
		delete(c.PendingByOrganisation, organisation)
	}
}
