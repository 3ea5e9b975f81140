package slope

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// startTimeout bounds the start of a deployment.
const startTimeout = 30 * time.Second

// deploy starts a small deployment.
func (c *Command) deploy(ctx context.Context, shape deploy.Config) (*deploy.Deployment, error) {
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
	shape.EntryArgs = c.EntryArg
	shape.FailureDomains = []string{"fd-a"}
	shape.Table = table.Table{
		FailureDomains: []table.FailureDomain{{Name: "fd-a"}},
		Services: []table.Service{
			{Name: deploy.ModelService, Kind: table.KindModel},
			{Name: deploy.OrderService, Kind: table.KindPlain},
		},
	}
	return deploy.Start(ctx, c.Bin, folder, shape)
}

// used is what a process used over a time.
type used struct {
	// processor is in percent of a core, memory in MB.
	processor, memory float64
}

// usage measures a process for the command's duration.
func (c *Command) usage(p *deploy.Process) (used, error) {
	before, err := p.Usage()
	if err != nil {
		return used{}, err
	}
	time.Sleep(c.Duration)
	after, err := p.Usage()
	if err != nil {
		return used{}, err
	}
	return used{
		processor: 100 * (after.Processor - before.Processor).Seconds() / c.Duration.Seconds(),
		memory:    float64(after.MemoryBytes) / (1 << 20),
	}, nil
}

// waitInterval is the time between two looks at a condition.
const waitInterval = 50 * time.Millisecond

// waitFor waits until a condition holds.
func waitFor(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the deployment didn't get going; read its logs")
		case <-time.After(waitInterval):
		}
	}
	return nil
}
