package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// attempt is an attempt that was sent and has not ended.
type attempt struct {
	service      *service
	upstream     string
	organisation string
	started      bool
	sentAt       time.Time
}

// RecordStart records that the upstream has started to respond to an attempt, and
// returns the decisions that follow.
func (s *Scheduler) RecordStart(id string, now time.Time) []Decision {
	a, ok := s.attempts[id]
	if !ok || a.started {
		return nil
	}
	a.started = true
	a.service.candidate(a.upstream).countStarted(a.organisation)
	return s.dispatch(a.service, now)
}

// RecordEnd records that an attempt has ended, and returns the decisions that follow.
// failed is true if the attempt was aborted or refused.
func (s *Scheduler) RecordEnd(id string, failed bool, now time.Time) []Decision {
	a, ok := s.attempts[id]
	if !ok {
		return nil
	}
	delete(s.attempts, id)
	c := a.service.candidate(a.upstream)
	c.InFlight--
	c.SentSinceReport = max(0, c.SentSinceReport-1)
	if !a.started {
		c.countStarted(a.organisation)
	}
	if !failed {
		a.service.runTime.observe(now.Sub(a.sentAt))
	}
	if failed {
		c.AvoidUntil = now.Add(s.cfg.AvoidAfterFailure)
		c.Suspect = true
	}
	s.removeIfDelisted(a.service, c)
	return s.dispatch(a.service, now)
}

// candidate is a selection.Candidate with methods that count the attempts of this
// entry there.
type candidate struct{ *selection.Candidate }

// countSent counts an attempt that is sent.
func (c candidate) countSent(organisation string, priority bool) {
	if priority {
		c.PrioritySentSinceReport++
	}
	c.InFlight++
	c.SentSinceReport++
	c.Pending++
	c.PendingByOrganisation[organisation]++
}

// countStarted removes an attempt that has started or ended from the pending ones.
func (c candidate) countStarted(organisation string) {
	c.Pending--
	c.PendingByOrganisation[organisation]--
	if c.PendingByOrganisation[organisation] == 0 {
		delete(c.PendingByOrganisation, organisation)
	}
}
