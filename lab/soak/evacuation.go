package soak

import "time"

// kindEvacuations is the kind of the objects that evacuate failure domains.
const kindEvacuations = "evacuations"

// evacuate evacuates a failure domain, as the platform's operators do. It returns false if one
// is evacuated already, because the group needs most of its ranks' hosts.
func (d *deployment) evacuate(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuated != "" {
		return false
	}
	if err := d.store.Put(kindEvacuations, domain, map[string]any{}); err != nil {
		d.checker.RecordViolation("the failure domain %s can't be evacuated: %v", domain, err)
		return false
	}
	d.evacuated = domain
	d.checker.recordEvacuation(domain, time.Now())
	return true
}

// takeBack ends the evacuation.
func (d *deployment) takeBack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checker.recordEvacuation(d.evacuated, time.Time{})
	d.store.Remove(kindEvacuations, d.evacuated)
	d.evacuated = ""
}

// recordEvacuation records when a failure domain was evacuated, the zero time if it no longer
// is.
func (c *checker) recordEvacuation(domain string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuatedAt[domain] = at
}

// checkEvacuated checks that a request does not run in a failure domain that was evacuated
// more than evacuateLimit ago. A fault of an entry excuses it for contactTimeout.
func (c *checker) checkEvacuated(domain, upstream, id string, now time.Time) {
	c.mu.Lock()
	at := c.evacuatedAt[domain]
	c.mu.Unlock()
	if at.IsZero() || now.Sub(at) <= evacuateLimit || !c.entriesHealthy(now.Add(-contactTimeout), now) {
		return
	}
	c.RecordViolation("%s ran %s %v after its failure domain %s was evacuated", upstream, id, now.Sub(at), domain)
}
