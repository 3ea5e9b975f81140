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
	// renewInterval is the time between two renewals. Every host reads each of them,
	// so their number grows with the square of the hosts: at 330 hosts it is one a
	// second.
	renewInterval = 5 * time.Minute
	// life is how long a host counts whose registration is not renewed.
	life = 3 * renewInterval
)

// Reserve of the count: hosts that have started while this one can't hear of them.
const (
	leastReserve = 2
	// reservePart is the part of the known hosts that is added.
	reservePart = 4
)

// registration is what a host writes of itself.
type registration struct {
	Role          hosts.Role `json:"role"`
	FailureDomain string     `json:"failure_domain"`
	// Address is the base URL of the host's process for calls between hosts.
	Address string `json:"address"`
	// Incarnation is fresh at each start of the process.
	Incarnation string `json:"incarnation"`
	// Renewals counts the renewals since then.
	Renewals uint64 `json:"renewals"`
}

// View is what a host knows of the others. It is pure, and not safe for concurrent
// use.
type View struct {
	name  string
	known bool
	hosts map[string]*member
}

type member struct {
	registration
	version string
	// seenAt is when the registration was seen to change.
	seenAt time.Time
}

// NewView returns the view of a host that knows nothing yet.
func NewView(name string) *View { return &View{name: name, hosts: make(map[string]*member)} }

// Apply takes a change of a registration. A registration that can't be read counts
// as a host: it may be one of a later release.
func (v *View) Apply(e objects.Event, now time.Time) error {
	name := e.Object.Metadata.Name
	if e.Type == objects.Deleted {
		delete(v.hosts, name)
		return nil
	}
	m := &member{version: e.Object.Metadata.ResourceVersion, seenAt: now}
	if old := v.hosts[name]; old != nil && old.version == m.version {
		return nil
	}
	v.hosts[name] = m
	return errors.Wrapf(json.Unmarshal(e.Object.Spec, &m.registration), "the registration of %s can't be read; remove it if the host is gone", name)
}

// MarkListed records that all registrations have been read.
func (v *View) MarkListed() { v.known = true }

// ResourceVersion returns the version of a host's registration, empty when it has none.
func (v *View) ResourceVersion(name string) string {
	if m := v.hosts[name]; m != nil {
		return m.version
	}
	return ""
}

// Expired returns the other hosts that have not renewed for long.
func (v *View) Expired(now time.Time) []string {
	var list []string
	for name, m := range v.hosts {
		if name != v.name && now.Sub(m.seenAt) > life {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Hosts returns the hosts that may be alive, by name.
func (v *View) Hosts(now time.Time) []hosts.Host {
	var list []hosts.Host
	for name, m := range v.hosts {
		if now.Sub(m.seenAt) <= life {
			list = append(list, hosts.Host{Name: name, Role: m.Role, FailureDomain: m.FailureDomain, Address: m.Address})
		}
	}
	slices.SortFunc(list, func(a, b hosts.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// LimitDivisor returns into how many parts a bound that holds over all entries is to be
// divided, so that it holds although entries start that this host can't hear of. It
// is 0 while the others are not known.
func (v *View) LimitDivisor(now time.Time) int {
	if !v.known {
		return 0
	}
	n := 0
	for name, m := range v.hosts {
		if name == v.name || now.Sub(m.seenAt) <= life {
			n++
		}
	}
	if v.hosts[v.name] == nil {
		n++
	}
	return n + max(leastReserve, (n+reservePart-1)/reservePart)
}
