package fleet

import (
	"maps"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/subset"
)

// choice is the upstreams that an entry takes of a host list.
type choice struct {
	list []hosts.Host
	// services is what each upstream that has reported serves.
	services map[string]string
	chosen   map[string]bool
}

// taken returns the entries of a host list and the upstreams that this entry
// takes: some of each service, and those that have not yet said what they serve.
// It is called by one goroutine.
func (f *Fleet) taken(list []hosts.Host) []hosts.Host {
	if f.cfg.SubsetSize == 0 {
		return list
	}
	f.mu.Lock()
	services := maps.Clone(f.services)
	f.mu.Unlock()
	// The choice takes some milliseconds on a large fleet, and hosts change
	// seldom.
	if !slices.Equal(list, f.choice.list) || !maps.Equal(services, f.choice.services) {
		f.choice = choice{list: list, services: services}
		f.choice.chosen = f.choice.choose(f.cfg.Entry, f.cfg.SubsetSize)
	}
	var out []hosts.Host
	for _, h := range list {
		if h.Role == hosts.RoleEntry || f.choice.chosen[h.Name] {
			out = append(out, h)
		}
	}
	return out
}

// choose returns the upstreams that an entry takes, size of each service.
func (c *choice) choose(entry string, size int) map[string]bool {
	var entries []string
	chosen := make(map[string]bool)
	groups := make(map[string][]subset.Upstream)
	for _, h := range c.list {
		service, known := c.services[h.Name]
		switch {
		case h.Role == hosts.RoleEntry:
			entries = append(entries, h.Name)
		case !known:
			chosen[h.Name] = true
		default:
			groups[service] = append(groups[service], subset.Upstream{Name: h.Name, FailureDomain: h.FailureDomain})
		}
	}
	for _, upstreams := range groups {
		for _, name := range subset.Choose(entry, entries, upstreams, size) {
			chosen[name] = true
		}
	}
	return chosen
}
