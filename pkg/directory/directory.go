// Package directory joins what the platform provides with the operators' table:
// the platform's configuration brings organisations, keys, routes and services,
// and its list of evacuations the failure domains that are out of service; the
// table brings each organisation's weight and ceiling, and marks of its own.
//
// It also keeps when the configuration was last proved to be the newest. The
// proof counts from when the question was sent, on the clock that goes on while
// the machine is suspended.
package directory

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/clock"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Directory holds the table in force. It is safe for concurrent use.
type Directory struct {
	log *logrus.Entry

	mu        sync.Mutex
	base      *table.Table
	evacuated []string
	evacKnown bool
	rows      *table.Table
	index     *table.Index
	proved    clock.BootTime
	listeners []func(*table.Index)
}

// New returns a directory that knows nothing yet.
func New() *Directory { return &Directory{log: logging.For("directory")} }

// Subscribe calls fn with each newer table from now on.
func (d *Directory) Subscribe(fn func(*table.Index)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, fn)
}

// Index returns the table in force, nil before all parts are known, and the age
// of the proof that its keys are valid.
func (d *Directory) Index() (*table.Index, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.index, clock.Since(d.proved)
}

// PlatformTable returns what the platform provides beside the operators' table, nil
// before it is known.
func (d *Directory) PlatformTable() *table.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.base
}

// Confirm records that the configuration in force was the newest when a question
// was sent.
func (d *Directory) Confirm(sent clock.BootTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proved = max(d.proved, sent)
}

// SetPlatformTable takes the platform's configuration and its proof. An older version
// than the one in force is dropped.
func (d *Directory) SetPlatformTable(base *table.Table, sent clock.BootTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.base != nil && base.Version < d.base.Version {
		d.log.WithFields(logrus.Fields{"version": base.Version, "in_force": d.base.Version}).Warn("older configuration dropped")
		return
	}
	d.proved = max(d.proved, sent)
	if d.base != nil && base.Version == d.base.Version {
		return
	}
	d.base = base
	d.log.WithFields(logrus.Fields{
		"version": base.Version, "routes": len(base.Routes), "services": len(base.Services),
		"organisations": len(base.Organisations), "keys": len(base.Keys),
	}).Info("configuration in force")
	d.rebuild()
}

// SetEvacuated takes the failure domains that the platform has evacuated.
func (d *Directory) SetEvacuated(domains []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.Sort(domains)
	if d.evacKnown && slices.Equal(domains, d.evacuated) {
		return
	}
	d.evacuated, d.evacKnown = domains, true
	d.log.WithField("failure_domains", domains).Info("evacuations in force")
	d.rebuild()
}

// SetOperatorTable takes the operators' table.
func (d *Directory) SetOperatorTable(ix *table.Index) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rows = ix.Table()
	d.rebuild()
}

// rebuild makes the index anew. The caller holds the lock.
func (d *Directory) rebuild() {
	if d.base == nil || !d.evacKnown {
		return
	}
	d.index = table.NewIndex(join(d.base, d.evacuated, d.rows))
	for _, fn := range d.listeners {
		fn(d.index)
	}
}

// join returns the configuration with the evacuations and the operators' rows.
func join(base *table.Table, evacuated []string, rows *table.Table) *table.Table {
	t := base.Clone()
	for _, name := range evacuated {
		t.FailureDomains = append(t.FailureDomains, table.FailureDomain{Name: name, OutOfService: true})
	}
	if rows == nil {
		return t
	}
	t.FailureDomains = append(t.FailureDomains, rows.FailureDomains...)
	t.Upstreams = append(t.Upstreams, rows.Upstreams...)
	byName := make(map[string]table.Organisation, len(rows.Organisations))
	for _, o := range rows.Organisations {
		byName[o.Name] = o
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		if row, ok := byName[o.Name]; ok {
			o.Weight, o.Ceiling, o.Priority = row.Weight, row.Ceiling, o.Priority || row.Priority
		}
	}
	return t
}
