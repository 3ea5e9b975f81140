package fleet

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/subset"
)

// choice is the upstreams that an entry takes of a host list.
type choice struct {
	list   []hosts.Host
	chosen map[string]bool
}

// taken returns the entries of a host list and the upstreams that this entry
// takes. It is called by one goroutine.
func (f *Fleet) taken(list []hosts.Host) []hosts.Host {
	if f.cfg.SubsetSize == 0 {
		return list
	}
	// The choice takes some milliseconds on a large fleet, and hosts change
	// seldom.
	if !slices.Equal(list, f.choice.list) {
		f.choice = choice{list: list, chosen: f.choose(list)}
	}
	var out []hosts.Host
	for _, h := range list {
		if h.Role == hosts.RoleEntry || f.choice.chosen[h.Name] {
			out = append(out, h)
		}
	}
	return out
}

func (f *Fleet) choose(list []hosts.Host) map[string]bool {
	var entries []string
	var upstreams []subset.Upstream
	for _, h := range list {
		if h.Role == hosts.RoleEntry {
			entries = append(entries, h.Name)
			continue
		}
		upstreams = append(upstreams, subset.Upstream{Name: h.Name, FailureDomain: h.FailureDomain})
	}
	chosen := make(map[string]bool, f.cfg.SubsetSize)
	for _, name := range subset.Choose(f.cfg.Entry, entries, upstreams, f.cfg.SubsetSize) {
		chosen[name] = true
	}
	return chosen
}
