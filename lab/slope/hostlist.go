package slope

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/subset"
)

// hostList measures one read of the host list and one choice of a subset. A
// third of the hosts are entries, as at the size of two years.
var hostList = Slope{
	Name:    "hosts",
	Summary: "size of the host list, and processor time of its reading and of the choice of a subset, by hosts",
	Unit:    "hosts",
	sizes:   []int{16, 100, 400, 960},
	measure: measureHostList,
}

// Shape of the fleet whose list is read.
const (
	hostsPerEntry = 3
	domainCount   = 6
	subsetSize    = 18
)

func measureHostList(_ context.Context, _ *Command, n int) ([]Figure, error) {
	list := make([]hosts.Host, n)
	for i := range list {
		list[i] = hosts.Host{
			Name: fmt.Sprintf("host-%04d", i), Role: hosts.RoleUpstream,
			FailureDomain: fmt.Sprintf("fd-%d", i%domainCount), Address: fmt.Sprintf("http://10.0.%d.%d:8080", i/250, i%250),
		}
		if i%hostsPerEntry == 0 {
			list[i].Role = hosts.RoleEntry
		}
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	read := processorTime(func() {
		var l []hosts.Host
		err = json.Unmarshal(raw, &l)
	})
	choose := processorTime(func() { chooseSubset(list) })
	return []Figure{
		figureOf("host list as JSON", "bytes", float64(len(raw))),
		figureOf("reading it", "processor ms", read),
		figureOf("choosing a subset", "processor ms", choose),
	}, errors.WithStack(err)
}

func chooseSubset(list []hosts.Host) {
	var entries []string
	var upstreams []subset.Upstream
	for _, h := range list {
		if h.Role == hosts.RoleEntry {
			entries = append(entries, h.Name)
			continue
		}
		upstreams = append(upstreams, subset.Upstream{Name: h.Name, FailureDomain: h.FailureDomain})
	}
	subset.Choose(entries[0], entries, upstreams, subsetSize)
}
