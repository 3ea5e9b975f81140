package slope

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// startTimeout limits the time of the start of a deployment.
const startTimeout = 30 * time.Second

// startDeployment starts a deployment with one failure domain and two services. The
// programs are built if Bin is empty.
func (c *Command) startDeployment(ctx context.Context, cfg deploy.Config) (*deploy.Deployment, error) {
	folder, err := os.MkdirTemp("", "acaciaglade-slope-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if c.Bin == "" {
		if err := deploy.Build(ctx, folder); err != nil {
			return nil, err
		}
		c.Bin = folder
	}
	cfg.EntryArgs = c.EntryArg
	cfg.FailureDomains = []string{"fd-a"}
	cfg.Table = table.Table{
		FailureDomains: []table.FailureDomain{{Name: "fd-a"}},
		Services: []table.Service{
			{Name: deploy.ModelService, Kind: table.KindModel},
			{Name: deploy.OrderService, Kind: table.KindPlain},
		},
	}
	return deploy.Start(ctx, c.Bin, folder, cfg)
}

// resourceUsage is the resource usage of a process during a measurement.
type resourceUsage struct {
	// processorPercent is the mean use in percent of a core, memoryMB the resident
	// memory at the end in units of 2^20 bytes.
	processorPercent, memoryMB float64
}

// measureUsage measures the resource usage of a process over Command.Duration.
func (c *Command) measureUsage(p *deploy.Process) (resourceUsage, error) {
	before, err := p.Usage()
	if err != nil {
		return resourceUsage{}, err
	}
	time.Sleep(c.Duration)
	after, err := p.Usage()
	if err != nil {
		return resourceUsage{}, err
	}
	return resourceUsage{
		processorPercent: 100 * (after.CPUTime - before.CPUTime).Seconds() / c.Duration.Seconds(),
		memoryMB:         float64(after.MemoryBytes) / (1 << 20),
	}, nil
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// waitFor waits until a condition holds, for at most startTimeout.
func waitFor(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the deployment did not exchange the expected messages after its start; read its logs")
		case <-time.After(pollInterval):
		}
	}
	return nil
}
