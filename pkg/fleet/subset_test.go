package fleet

import (
	"fmt"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// TestSubsetHasUpstreamsOfEachService checks that a small service next to a large one keeps
// its upstreams, and that an upstream that has not reported yet is used by each entry.
func TestSubsetHasUpstreamsOfEachService(t *testing.T) {
	c := subsetSelection{services: make(map[string]string)}
	add := func(service string, n int) {
		for i := range n {
			name := fmt.Sprintf("%s-%d", service, i)
			c.list = append(c.list, hosts.Host{Name: name, Role: hosts.RoleUpstream, FailureDomain: fmt.Sprintf("fd-%d", i%3)})
			if service != "new" {
				c.services[name] = service
			}
		}
	}
	for _, entry := range []string{"entry-0", "entry-1"} {
		c.list = append(c.list, hosts.Host{Name: entry, Role: hosts.RoleEntry})
	}
	add("large", 30)
	add("small", 2)
	add("new", 1)
	counts := make(map[string]int)
	for name := range c.selectUpstreams("entry-1", 6) {
		service := c.services[name]
		counts[service]++
	}
	if counts["large"] != 6 || counts["small"] != 2 || counts[""] != 1 {
		t.Errorf("selected %v, want 6 large, 2 small and 1 that has not reported", counts)
	}
}
