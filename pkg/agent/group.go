package agent

import (
	"context"

	"github.com/acaciaglade/acaciaglade/pkg/group"
)

// newGroup returns the upstream's group, or nil if the upstream is not part of one.
func (a *Agent) newGroup(cfg *group.Config) *group.Group {
	if cfg == nil {
		return nil
	}
	return group.New(*cfg, a.runningCount, a.closeForGroup)
}

// runningCount returns the number of requests that use capacity of the upstream.
func (a *Agent) runningCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Running()
}

// closeForGroup stops the admission of new work because the host of another rank
// drains. The gate stays closed until isGroupDraining reports false at a sample.
func (a *Agent) closeForGroup() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetUnreachable()
	a.processQueue()
}

// isGroupDraining reports whether the group admits no new work, because the host of a
// rank drains or has not returned to service.
func (a *Agent) isGroupDraining() bool { return a.group != nil && a.group.IsDraining() }

// requestGroupDrain drains the group, if the upstream is a rank of one, before the host
// of the rank stops.
func (a *Agent) requestGroupDrain(ctx context.Context) error {
	if a.group == nil {
		return nil
	}
	return a.group.RequestDrain(ctx)
}
