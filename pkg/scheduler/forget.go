package scheduler

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// RemoveUpstream removes an upstream that has left the host list. One with attempts of
// this entry is removed once they have ended. A later report brings it back.
func (s *Scheduler) RemoveUpstream(upstream string) {
	svc, ok := s.upstream[upstream]
	if !ok {
		return
	}
	c := svc.candidate(upstream)
	c.Delisted = true
	s.removeGone(svc, c)
}

// removeGone removes an upstream that was forgotten and has no attempts left.
func (s *Scheduler) removeGone(svc *service, c candidate) {
	if !c.Delisted || c.InFlight > 0 {
		return
	}
	name := c.Report.Upstream
	i := slices.IndexFunc(svc.candidates, func(c selection.Candidate) bool { return c.Report.Upstream == name })
	svc.candidates = slices.Delete(svc.candidates, i, i+1)
	delete(s.upstream, name)
}
