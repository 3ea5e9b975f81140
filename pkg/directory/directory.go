// Package directory merges the platform's configuration with the operators' table. The
// configuration provides organisations, keys, routes and services, and the platform's list
// of evacuations the failure domains that are out of service. The table provides the weight
// and ceiling of each organisation, and marks of its own.
//
// The package also records when the configuration was last confirmed as the newest. The
// validation age counts from the time at which the request was sent, on the clock that
// includes suspensions of the machine.
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

// EvacuationReturnTime is how long evacuations count as they were before the store came back
// from a copy, unless they are written again. It is the time within which they must apply.
const EvacuationReturnTime = 5 * time.Second

// Directory holds the current table. It is safe for concurrent use.
type Directory struct {
	log *logrus.Entry

	mu               sync.Mutex
	platformTable    *table.Table
	evacuated        []string
	evacuationsKnown bool
	operatorTable    *table.Table
	index            *table.Index
	confirmedAt      clock.BootTime
	// stored is where the current configuration was last confirmed in the store, and
	// storedRevisions are all revisions that it has had there. confirmedEra is the newest era
	// in which it was confirmed, unsettledEra a newer one that was seen at unsettledAt.
	stored                     StoredVersion
	storedRevisions            []uint64
	confirmedEra, unsettledEra uint64
	unsettledAt                clock.BootTime
	// awaiting is true while the entry waits for what other entries know, minVersion the
	// newest version that one of them knows, and keptEvacuated the failure domains that one
	// knows to be evacuated although the copy lacks it.
	awaiting      bool
	minVersion    uint64
	keptEvacuated []string
	// evacuationsConfirmedAt is when the list of evacuations was last confirmed.
	// neighbourEvacuated are the failure domains that others know to be evacuated; they count
	// until the list is confirmed again.
	evacuationsConfirmedAt clock.BootTime
	neighbourEvacuated     []string
	listeners              []func(*table.Index)
}

// New returns an empty directory.
func New() *Directory { return &Directory{log: logging.For("directory")} }

// Subscribe registers fn, which is called with each later table. It is called under the
// directory's lock and must not call the directory.
func (d *Directory) Subscribe(fn func(*table.Index)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, fn)
}

// Index returns the current table and the validation age of its keys. The table is nil until
// the platform's configuration and its evacuations are known.
func (d *Directory) Index() (*table.Index, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.index, clock.Since(d.confirmedAt)
}

// PlatformTable returns the platform's configuration, or nil before it is known.
func (d *Directory) PlatformTable() *table.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.platformTable
}

// StoredVersion is a version of the configuration and where the store has it.
type StoredVersion struct {
	// Era is the number of the store's history, Revision that of the configuration's last
	// change in it.
	Era, Revision uint64
	Version       uint64
	// Written is true if the store has reported the change in this era, so that it is not
	// from a copy.
	Written bool
}

// SettleTime is how long after the store has come back from a copy the configuration in the
// copy does not count as the newest: the operators write a newer one again meanwhile.
const SettleTime = 500 * time.Millisecond

// IsSettled reports whether the newest era's configuration counts as the newest.
func (d *Directory) IsSettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unsettledEra <= d.confirmedEra
}

// isNewest reports whether the store's configuration was the newest when it was read at
// sentAt. After a restore the copy may lack the newest one: it counts only if the operators
// have certainly written it in this era, or have had the time to.
func (d *Directory) isNewest(v StoredVersion, sentAt clock.BootTime) bool {
	if d.platformTable == nil {
		d.confirmedEra, d.unsettledEra = v.Era, v.Era
	}
	if v.Era > d.unsettledEra {
		d.unsettledEra, d.unsettledAt = v.Era, sentAt
	}
	switch {
	case v.Version < d.minVersion, d.platformTable != nil && v.Version < d.platformTable.Version:
		return false
	case v.Era == d.confirmedEra:
		return true
	}
	// In a copy, the version would have a revision under which it was known.
	rewritten := v.Version == d.stored.Version && !slices.Contains(d.storedRevisions, v.Revision)
	if !v.Written && !rewritten && sentAt < d.unsettledAt+clock.BootTime(SettleTime) {
		return false
	}
	d.confirmedEra = v.Era
	return true
}

// Confirm records that the store had a version of the configuration at sentAt, when the
// request that confirmed it was sent.
func (d *Directory) Confirm(v StoredVersion, sentAt clock.BootTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirm(v, sentAt)
}

// confirm records that the current configuration was the newest at sentAt, if it was. The
// caller holds the lock.
func (d *Directory) confirm(v StoredVersion, sentAt clock.BootTime) {
	if !d.isNewest(v, sentAt) {
		return
	}
	if v.Version != d.stored.Version {
		d.storedRevisions = nil
	}
	if !slices.Contains(d.storedRevisions, v.Revision) {
		d.storedRevisions = append(d.storedRevisions, v.Revision)
	}
	d.stored = v
	d.confirmedAt = max(d.confirmedAt, sentAt)
}

// SetPlatformTable applies the platform's configuration, which the store had at sentAt, when
// the request for it was sent. A version older than the current one is ignored.
func (d *Directory) SetPlatformTable(platformTable *table.Table, v StoredVersion, sentAt clock.BootTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if inForce := max(d.minVersion, d.version()); platformTable.Version < inForce {
		d.log.WithFields(logrus.Fields{"version": platformTable.Version, "in_force": inForce, "era": v.Era}).Warn("configuration older than the current one ignored")
		d.confirm(v, sentAt)
		return
	}
	v.Version = platformTable.Version
	d.confirm(v, sentAt)
	if d.platformTable != nil && platformTable.Version == d.platformTable.Version {
		return
	}
	d.platformTable = platformTable
	d.log.WithFields(logrus.Fields{
		"version": platformTable.Version, "routes": len(platformTable.Routes), "services": len(platformTable.Services),
		"organisations": len(platformTable.Organisations), "keys": len(platformTable.Keys), "era": v.Era,
	}).Info("configuration updated")
	d.rebuild()
}

// SetEvacuated replaces the list of failure domains that the platform has evacuated.
func (d *Directory) SetEvacuated(domains []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.Sort(domains)
	if d.evacuationsKnown && slices.Equal(domains, d.evacuated) {
		return
	}
	d.evacuated, d.evacuationsKnown = domains, true
	d.log.WithField("failure_domains", domains).Info("evacuations updated")
	d.rebuild()
}

// ConfirmEvacuations records that the list of evacuations was the newest at sentAt, when the
// request that confirmed it was sent.
func (d *Directory) ConfirmEvacuations(sentAt clock.BootTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuationsConfirmedAt = max(d.evacuationsConfirmedAt, sentAt)
	if d.neighbourEvacuated != nil {
		d.neighbourEvacuated = nil
		d.rebuild()
	}
}

// SetOperatorTable replaces the operators' table.
func (d *Directory) SetOperatorTable(ix *table.Index) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operatorTable = ix.Table()
	d.rebuild()
}

// version returns the version of the current configuration, 0 for none. The caller holds the
// lock.
func (d *Directory) version() uint64 {
	if d.platformTable == nil {
		return 0
	}
	return d.platformTable.Version
}

// rebuild rebuilds the index once all required parts are known, and calls the listeners.
// The caller holds the lock.
func (d *Directory) rebuild() {
	if d.platformTable == nil || !d.evacuationsKnown || d.awaiting {
		return
	}
	evacuated := slices.Compact(slices.Sorted(slices.Values(slices.Concat(d.evacuated, d.keptEvacuated, d.neighbourEvacuated))))
	d.index = table.NewIndex(mergeTables(d.platformTable, evacuated, d.operatorTable))
	for _, fn := range d.listeners {
		fn(d.index)
	}
}

// mergeTables returns the platform's configuration with its evacuations and the rows of the
// operators' table.
func mergeTables(platformTable *table.Table, evacuated []string, operatorTable *table.Table) *table.Table {
	t := platformTable.Clone()
	for _, name := range evacuated {
		t.FailureDomains = append(t.FailureDomains, table.FailureDomain{Name: name, OutOfService: true})
	}
	if operatorTable == nil {
		return t
	}
	t.FailureDomains = append(t.FailureDomains, operatorTable.FailureDomains...)
	t.Upstreams = append(t.Upstreams, operatorTable.Upstreams...)
	byName := make(map[string]table.Organisation, len(operatorTable.Organisations))
	for _, o := range operatorTable.Organisations {
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
