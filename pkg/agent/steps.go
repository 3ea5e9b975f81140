package agent

import "time"

// stepTimer passes an engine's response to a run, and measures the engine's step time:
// each step adds one part to the response.
type stepTimer struct {
	*run
	agent      *Agent
	lastPartAt time.Time
}

// writeData implements responseSink.
func (t *stepTimer) writeData(part []byte) {
	now := time.Now()
	if !t.lastPartAt.IsZero() && t.agent.cfg.ModelEngine {
		t.agent.mu.Lock()
		t.agent.gate.ObserveStep(now.Sub(t.lastPartAt), now)
		t.agent.mu.Unlock()
	}
	t.lastPartAt = now
	t.run.writeData(part)
}

// recordBrokenCall records that a call of the upstream ended without a complete response.
func (a *Agent) recordBrokenCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ObserveBrokenCall(time.Now())
}

var _ responseSink = (*stepTimer)(nil)
