package scheduler

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// RemoveUpstream removes an upstream that has left the host list. If this entry has
// attempts there, it is removed once they have ended. A later report adds it again.
func (s *Scheduler) RemoveUpstream(upstream string) {
	svc, ok := s.serviceByUpstream[upstream]
	if !ok {
		return
	}
	c := svc.candidate(upstream)
	c.Delisted = true
	s.removeIfDelisted(svc, c)
}

// removeIfDelisted removes an upstream that has left the host list and has no attempts
// of this entry.
func (s *Scheduler) removeIfDelisted(svc *service, c candidate) {
	if !c.Delisted || c.InFlight > 0 {
		return
	}
	name := c.Report.Upstream
	i := slices.IndexFunc(svc.candidates, func(c selection.Candidate) bool { return c.Report.Upstream == name })
	svc.candidates = slices.Delete(svc.candidates, i, i+1)
	delete(s.serviceByUpstream, name)
}
