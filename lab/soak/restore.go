package soak

import (
	"time"

	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// restoreStore replaces what the store holds by a copy. The platform's operators and the
// upstreams then write again what they had written since.
func (d *deployment) restoreStore(c *platformstore.Copy) {
	d.store.Restore(c)
	if err := d.rewriteConfig(); err != nil {
		d.checker.RecordViolation("the configuration can't be written: %v", err)
	}
	for _, u := range d.upstreams {
		if !u.isAlive() {
			continue
		}
		if err := u.register(); err != nil {
			d.checker.RecordViolation("the simulated upstream can't register: %v", err)
		}
	}
}

// rewriteConfig writes the current configuration again.
func (d *deployment) rewriteConfig() error {
	d.mu.Lock()
	spec := d.config
	d.mu.Unlock()
	return d.store.Put("config", "main", spec)
}

// restoreOutage is how long the store is away before it comes back from a copy.
const restoreOutage = time.Second
