package quarantine

import "time"

// trialTimeout is how long a trial may last. An upstream begins or ends within a fraction
// of it.
const trialTimeout = 3 * time.Second

// Trials grants trials for the entries: one at a time for each service, so that the end of
// an upstream during a trial tells which part is the cause. It is not safe for concurrent
// use.
type Trials struct{ running map[string]trial }

// trial is a granted trial.
type trial struct {
	id    string
	until time.Time
}

// NewTrials returns Trials of which none runs.
func NewTrials() *Trials { return &Trials{running: make(map[string]trial)} }

// Begin begins a trial with an ID unless another one runs for the service. It returns
// whether the trial may run, and otherwise how long the running one may last.
func (t *Trials) Begin(service, id string, now time.Time) (bool, time.Duration) {
	if r, ok := t.running[service]; ok && r.id != id && now.Before(r.until) {
		return false, r.until.Sub(now)
	}
	t.running[service] = trial{id: id, until: now.Add(trialTimeout)}
	return true, 0
}

// End ends a trial.
func (t *Trials) End(service, id string) {
	if t.running[service].id == id {
		delete(t.running, service)
	}
}
