package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// deadlyRequests holds the bodies of requests that crash the plain upstream that runs them. It is
// safe for concurrent use.
type deadlyRequests struct {
	mu sync.Mutex
	// runs are the runs of the requests by body.
	runs map[string][]deadlyRun
}

// deadlyRun is the run of a copy of a deadly request.
type deadlyRun struct {
	// id is the ID of the copy.
	id string
	at time.Time
	// crashed is true if the run crashed the upstream, and false if another one had just done.
	crashed bool
}

func newDeadlyRequests() *deadlyRequests { return &deadlyRequests{runs: make(map[string][]deadlyRun)} }

// add adds a body that crashes plain upstreams from now on, and returns it.
func (d *deadlyRequests) add() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	body := fmt.Sprintf("deadly body %d", len(d.runs)+1)
	d.runs[body] = nil
	return body
}

// isDeadly reports whether a body crashes plain upstreams.
func (d *deadlyRequests) isDeadly(body string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.runs[body]
	return ok
}

// record records that an upstream ran a copy of a deadly request.
func (d *deadlyRequests) record(body, id string, crashed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[body] = append(d.runs[body], deadlyRun{id: id, at: time.Now(), crashed: crashed})
}

// listRuns returns the runs of a body that crashed an upstream, and all of its runs, in their order.
func (d *deadlyRequests) listRuns(body string) (crashes, runs []deadlyRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range d.runs[body] {
		if run.crashed {
			crashes = append(crashes, run)
		}
	}
	return crashes, slices.Clone(d.runs[body])
}

// sendDeadly sends a copy of a deadly request to any entry.
func (c *caller) sendDeadly(body, path string) {
	c.close()
	c.conn = nil
	r := c.newRequest(path, path == pathConfirm, "north")
	r.deadly, r.body = true, body
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	c.submit(ctx, r, false, callerTimeout)
}

const (
	// newsTime is how long after an upstream has crashed other entries may not know of it yet.
	newsTime = 500 * time.Millisecond
	// maxTrialCrashes is how many upstreams a request may crash besides one for each copy that
	// was sent before an entry could know of the first crash.
	maxTrialCrashes = 1
)

// checkDeadlyRequest records a violation if a request has crashed too many upstreams, if it ran
// later than contactTimeout after its second crash, or if it was refused as not run although it had
// run. It returns the number of crashes.
func (c *checker) checkDeadlyRequest(body string) int {
	crashes, runs := c.deadlyRequests.listRuns(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	early := make(map[string]bool)
	var history []string
	for _, crash := range crashes {
		if c.requests[crash.id].sentAt.Before(crashes[0].at.Add(newsTime)) {
			early[crash.id] = true
		}
		history = append(history, fmt.Sprintf("%s after %v", crash.id, crash.at.Sub(crashes[0].at).Round(time.Millisecond)))
	}
	if limit := len(early) + maxTrialCrashes; len(crashes) > limit {
		c.addViolation("%q crashed %d upstreams, want at most %d: %v", body, len(crashes), limit, history)
	}
	for _, run := range runs {
		if len(crashes) > 1 && run.at.Sub(crashes[1].at) > contactTimeout {
			c.addViolation("copy %s of %q was sent to an upstream %v after its second crash", run.id, body, run.at.Sub(crashes[1].at))
		}
	}
	for _, r := range c.requests {
		if r.body == body && r.refused && len(r.runs) > 0 {
			c.addViolation("copy %s of %q was refused as not run after it had run at %v", r.id, body, r.runs)
		}
	}
	return len(crashes)
}
