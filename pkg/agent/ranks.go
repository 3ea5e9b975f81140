package agent

import (
	"context"

	"github.com/acaciaglade/acaciaglade/pkg/group"
)

// newGroup returns the agent's part in its group, nil when it has none.
func (a *Agent) newGroup(cfg *group.Config) *group.Group {
	if cfg == nil {
		return nil
	}
	return group.New(*cfg, a.running, a.closeForGroup)
}

// running returns the number of requests that the group runs.
func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Running()
}

// closeForGroup stops the admission of new work while another rank's host is
// about to stop, or has stopped and not come back.
func (a *Agent) closeForGroup() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetUnreachable()
	a.turns()
}

// groupClosed reports whether the group takes no new work.
func (a *Agent) groupClosed() bool { return a.group != nil && a.group.IsDraining() }

// leaveGroup drains the group before the host of one of its ranks stops.
func (a *Agent) leaveGroup(ctx context.Context) error {
	if a.group == nil {
		return nil
	}
	return a.group.Leave(ctx)
}
