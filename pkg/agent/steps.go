package agent

import (
	"time"

	"github.com/pkg/errors"
)

// stepTimer passes an engine's response to a run, and measures the engine's step time:
// each step adds one part to the response.
type stepTimer struct {
	*run
	agent      *Agent
	lastPartAt time.Time
}

// writeData implements responseSink.
func (t *stepTimer) writeData(part []byte) error {
	now := time.Now()
	if !t.lastPartAt.IsZero() && t.agent.cfg.ModelEngine {
		t.agent.mu.Lock()
		t.agent.gate.ObserveStep(now.Sub(t.lastPartAt), now)
		t.agent.mu.Unlock()
	}
	t.lastPartAt = now
	return t.agent.keepData(t.run, part)
}

// keepData adds a part to a response. It returns an error if the response, or all that the agent
// keeps, takes too much memory.
func (a *Agent) keepData(r *run, part []byte) error {
	err, total := r.writeData(part), a.kept.Add(keptCost(part))
	if err == nil && total > maxKeptBytes {
		err = errMemoryFull
	}
	return errors.WithStack(err)
}

// recordBrokenCall records that a call of the upstream ended without a complete response.
func (a *Agent) recordBrokenCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ObserveBrokenCall(time.Now())
}

var _ responseSink = (*stepTimer)(nil)
