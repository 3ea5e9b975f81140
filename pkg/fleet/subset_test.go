package fleet

import (
	"fmt"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// A small service beside a large one keeps its upstreams, and an upstream that
// hasn't reported yet is asked by everyone.
func TestChoiceTakesSomeOfEachService(t *testing.T) {
	c := choice{services: make(map[string]string)}
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
	taken := make(map[string]int)
	for name := range c.choose("entry-1", 6) {
		service := c.services[name]
		taken[service]++
	}
	if taken["large"] != 6 || taken["small"] != 2 || taken[""] != 1 {
		t.Errorf("taken %v, want 6 large, 2 small and 1 that has not reported", taken)
	}
}
