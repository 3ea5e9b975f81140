package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
)

// Times of a registration.
const (
	// renewInterval is the time between two renewals. Every host reads each renewal,
	// so the number of reads grows with the square of the number of hosts: 330 hosts
	// renew about once a second together.
	renewInterval = 5 * time.Minute
	// expireAfter is the time after which a registration without renewal expires.
	expireAfter = 3 * renewInterval
	// reregisterTime is how long a host counts whose registration was lost because the store
	// has come back from a copy. Hosts that can reach the store register again at once.
	reregisterTime = 10 * time.Second
)

// Reserve of the limit divisor, for hosts that started while this one can't read the
// store.
const (
	// minReserve is the smallest reserve in hosts.
	minReserve = 2
	// reserveDivisor is the number of known hosts for each host of the reserve.
	reserveDivisor = 4
)

// registration is the object that a host writes to the store.
type registration struct {
	Role          hosts.Role `json:"role"`
	FailureDomain string     `json:"failure_domain"`
	// Address is the base URL of the host's process for calls between hosts.
	Address string `json:"address"`
	// Incarnation is new at each start of the process.
	Incarnation string `json:"incarnation"`
	// Renewals counts the writes of this incarnation's registration.
	Renewals uint64 `json:"renewals"`
}

// View is a host's view of the registrations. It does no I/O and reads no clock: callers
// pass watch events and the time. It is not safe for concurrent use.
type View struct {
	name string
	// complete is true once all registrations have been read.
	complete bool
	hosts    map[string]*member
	// restoredAt is when the store last came back from a copy.
	restoredAt time.Time
}

type member struct {
	registration
	version string
	// renewedAt is when the last change of the registration was observed.
	renewedAt time.Time
	// lostAt is when the store came back from a copy without the registration. It is zero
	// while the registration is stored.
	lostAt time.Time
}

// counts reports whether the registration has neither expired nor been lost for too long.
func (m *member) counts(now time.Time) bool {
	return now.Sub(m.renewedAt) <= expireAfter && (m.lostAt.IsZero() || now.Sub(m.lostAt) < reregisterTime)
}

// MarkRestored records that the store has come back from a copy.
func (v *View) MarkRestored(now time.Time) { v.restoredAt = now }

// NewView returns a host's view without registrations.
func NewView(name string) *View { return &View{name: name, hosts: make(map[string]*member)} }

// Apply applies a watch event. A registration that can't be decoded still counts as a
// host, because a later release may have written it.
func (v *View) Apply(e objects.Event, now time.Time) error {
	name := e.Object.Metadata.Name
	if e.Type == objects.Deleted {
		if m := v.hosts[name]; m != nil && now.Sub(v.restoredAt) < reregisterTime {
			// The copy lacks it. The host still counts until it had the time to register again.
			m.lostAt = now
			return nil
		}
		delete(v.hosts, name)
		return nil
	}
	m := &member{version: e.Object.Metadata.ResourceVersion, renewedAt: now}
	if old := v.hosts[name]; old != nil && old.version == m.version {
		return nil
	}
	v.hosts[name] = m
	return errors.Wrapf(json.Unmarshal(e.Object.Spec, &m.registration), "the registration of %s can't be read; remove it if the host is gone", name)
}

// MarkListed records that all registrations have been read.
func (v *View) MarkListed() { v.complete = true }

// ResourceVersion returns the version of a host's registration, or "" when it has none.
func (v *View) ResourceVersion(name string) string {
	if m := v.hosts[name]; m != nil && m.lostAt.IsZero() {
		return m.version
	}
	return ""
}

// Expired returns the names of the other hosts whose registrations have expired, in
// order.
func (v *View) Expired(now time.Time) []string {
	var list []string
	for name, m := range v.hosts {
		if name != v.name && now.Sub(m.renewedAt) > expireAfter {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Hosts returns the hosts whose registrations have not expired, ordered by name.
func (v *View) Hosts(now time.Time) []hosts.Host {
	var list []hosts.Host
	for name, m := range v.hosts {
		if !m.lostAt.IsZero() && !m.counts(now) {
			delete(v.hosts, name)
			continue
		}
		if m.counts(now) {
			list = append(list, hosts.Host{Name: name, Role: m.Role, FailureDomain: m.FailureDomain, Address: m.Address})
		}
	}
	slices.SortFunc(list, func(a, b hosts.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// LimitDivisor returns the number by which to divide a limit that holds over all
// entries together: the number of hosts whose registrations have not expired, with
// this host, and a reserve, so that the limit also holds when entries start while this
// host can't read the store. It is 0 until all registrations have been read.
func (v *View) LimitDivisor(now time.Time) int {
	if !v.complete {
		return 0
	}
	n := 0
	for name, m := range v.hosts {
		if name == v.name || m.counts(now) {
			n++
		}
	}
	if v.hosts[v.name] == nil {
		n++
	}
	return n + max(minReserve, (n+reserveDivisor-1)/reserveDivisor)
}
