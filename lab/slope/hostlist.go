package slope

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/subset"
)

// hostsSlope measures the decoding of the host list and the choice of a subset of
// it. One host in three is an entry (hostsPerEntry), about as at the size that is
// expected in two years: 330 entries and 630 upstreams, see BenchmarkChoose of package
// subset.
var hostsSlope = Slope{
	Name:    "hosts",
	Summary: "size of the host list, and processor time to decode it and to choose a subset, by hosts",
	Unit:    "hosts",
	sizes:   []int{16, 100, 400, 960},
	measure: measureHostList,
}

// Composition of the host list, and the size of the chosen subset.
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
	decodeMillis := meanProcessorMillis(func() {
		var l []hosts.Host
		err = json.Unmarshal(raw, &l)
	})
	chooseMillis := meanProcessorMillis(func() { chooseSubset(list) })
	return []Figure{
		newFigure("host list as JSON", "bytes", float64(len(raw))),
		newFigure("reading it", "processor ms", decodeMillis),
		newFigure("choosing a subset", "processor ms", chooseMillis),
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
