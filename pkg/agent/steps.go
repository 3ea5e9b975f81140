package agent

import "time"

// stepTimer passes an engine's answer on and times its steps: each step gives
// the answer one part.
type stepTimer struct {
	*run
	agent *Agent
	last  time.Time
}

// data implements answer.
func (t *stepTimer) data(part []byte) {
	now := time.Now()
	if !t.last.IsZero() && t.agent.cfg.ModelEngine {
		t.agent.mu.Lock()
		t.agent.gate.ObserveStep(now.Sub(t.last), now)
		t.agent.mu.Unlock()
	}
	t.last = now
	t.run.data(part)
}

// broken records that a call of the upstream broke off.
func (a *Agent) broken() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ObserveBrokenCall(time.Now())
}

var _ answer = (*stepTimer)(nil)
