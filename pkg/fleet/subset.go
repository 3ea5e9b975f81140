package fleet

import (
	"maps"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/subset"
)

// subsetSelection is the subset of upstreams in a host list that an entry uses.
type subsetSelection struct {
	list []hosts.Host
	// services maps each upstream that has reported to its service.
	services map[string]string
	selected map[string]bool
}

// selectHosts returns the entries of a host list and the upstreams that this entry uses:
// a subset for each service, and all upstreams whose service is not known yet. It must
// not be called concurrently.
func (f *Fleet) selectHosts(list []hosts.Host) []hosts.Host {
	if f.cfg.SubsetSize == 0 {
		return list
	}
	f.mu.Lock()
	services := maps.Clone(f.services)
	f.mu.Unlock()
	// The selection takes some milliseconds in a large fleet, so it is kept until hosts or
	// services change.
	if !slices.Equal(list, f.selection.list) || !maps.Equal(services, f.selection.services) {
		f.selection = subsetSelection{list: list, services: services}
		f.selection.selected = f.selection.selectUpstreams(f.cfg.Entry, f.cfg.SubsetSize)
	}
	var out []hosts.Host
	for _, h := range list {
		if h.Role == hosts.RoleEntry || f.selection.selected[h.Name] {
			out = append(out, h)
		}
	}
	return out
}

// selectUpstreams returns the upstreams that an entry uses: size of each service, and all
// upstreams whose service is not known yet.
func (s *subsetSelection) selectUpstreams(entry string, size int) map[string]bool {
	var entries []string
	selected := make(map[string]bool)
	byService := make(map[string][]subset.Upstream)
	for _, h := range s.list {
		service, known := s.services[h.Name]
		switch {
		case h.Role == hosts.RoleEntry:
			entries = append(entries, h.Name)
		case !known:
			selected[h.Name] = true
		default:
			byService[service] = append(byService[service], subset.Upstream{Name: h.Name, FailureDomain: h.FailureDomain})
		}
	}
	for _, upstreams := range byService {
		for _, name := range subset.Choose(entry, entries, upstreams, size) {
			selected[name] = true
		}
	}
	return selected
}
