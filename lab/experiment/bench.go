package experiment

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
	"github.com/acaciaglade/acaciaglade/lab/plot"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Limits of a run.
const (
	maxProcesses = 300
	// maxMemoryFraction is the fraction of the machine's memory that a run may use.
	maxMemoryFraction = 0.5
	// watchInterval is the time between two checks of the memory use.
	watchInterval = 500 * time.Millisecond
	startTimeout  = 40 * time.Second
)

// bench holds the environment of a run.
type bench struct {
	// bin is the folder of the programs, logs that of the processes' logs.
	bin   string
	logs  string
	seed  uint64
	begin time.Time
}

// printProgress prints a line with the time since the start of the run.
func (b *bench) printProgress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%5.1fs "+format+"\n", append([]any{time.Since(b.begin).Seconds()}, args...)...)
}

func processorCount() int { return runtime.NumCPU() }

// Organisations of the experiments.
var (
	priorityOrganisation = table.Organisation{Name: "engraver", Weight: 1, Priority: true}
	largeOrganisation    = table.Organisation{Name: "franchise", Weight: 3}
	smallOrganisation    = table.Organisation{Name: "cards", Weight: 1}
)

func tokenOf(o table.Organisation) string { return "token-of-" + o.Name }

// initialTable returns the table of a new deployment.
func initialTable(domains []string) table.Table {
	t := table.Table{Services: []table.Service{
		{Name: deploy.ModelService, Kind: table.KindModel},
		{Name: deploy.OrderService, Kind: table.KindPlain},
	}}
	for _, o := range []table.Organisation{priorityOrganisation, largeOrganisation, smallOrganisation} {
		o.TokenHash = table.HashToken(tokenOf(o))
		t.Organisations = append(t.Organisations, o)
	}
	for _, name := range domains {
		t.FailureDomains = append(t.FailureDomains, table.FailureDomain{Name: name})
	}
	return t
}

var failureDomains = []string{"fd-a", "fd-b", "fd-c"}

// startDeployment starts a deployment with the initial table and three failure domains.
func (b *bench) startDeployment(ctx context.Context, cfg deploy.Config) (*deploy.Deployment, error) {
	cfg.FailureDomains = failureDomains
	cfg.Table = initialTable(failureDomains)
	// Each upstream has an agent, and each entry may have a host list of its own.
	if n := 2 * (cfg.Entries + cfg.Models + cfg.Orders); n > maxProcesses {
		return nil, errors.Errorf("%d processes exceed the limit of %d; choose a smaller deployment", n, maxProcesses)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b.printProgress("starting %d entries, %d models and %d order services", cfg.Entries, cfg.Models, cfg.Orders)
	return deploy.Start(ctx, b.bin, b.logs, cfg)
}

// errMemoryLimit is the cause with which a run that uses too much memory is cancelled.
var errMemoryLimit = errors.New("the run used more than half of the machine's memory; choose a smaller deployment")

// watchMemory cancels a run when its deployment uses too much memory. It returns when
// ctx ends.
func watchMemory(ctx context.Context, d *deploy.Deployment, cancel context.CancelCauseFunc) {
	limit := int64(maxMemoryFraction * float64(totalMemory()))
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if d.MemoryBytes() > limit {
				cancel(errMemoryLimit)
			}
		}
	}
}

// totalMemory returns the size of the machine's memory in bytes, or 0 if it can't be read.
func totalMemory() int64 {
	raw, _ := os.ReadFile("/proc/meminfo")
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
	return kilobytes << 10
}

// plannedPhase describes one phase of a run: an action at its start, and its duration.
type plannedPhase struct {
	name     string
	action   func(ctx context.Context) error
	duration time.Duration
}

// runPhases runs the phases one after the other under traffic, and returns the results of
// the requests by phase.
func (b *bench) runPhases(ctx context.Context, d *deploy.Deployment, name string, traffic []load.Config, phases []plannedPhase) (*Variant, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go watchMemory(ctx, d, cancel)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	collect := startTraffic(sending, d, traffic, b.seed)
	begin := time.Now()
	var starts []phaseStart
	for _, p := range phases {
		b.printProgress("%s: %s", name, p.name)
		starts = append(starts, phaseStart{name: p.name, at: time.Now()})
		if p.action != nil {
			if err := p.action(ctx); err != nil {
				return nil, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(p.duration):
		}
	}
	end := time.Now()
	stop()
	samples := collect()
	return &Variant{Name: name, Phases: splitPhases(samples, starts, end), Series: rateSeries(samples, begin, end)}, nil
}

// startTraffic starts the traffic. It returns a function that waits until the traffic has
// ended, and returns its samples.
func startTraffic(ctx context.Context, d *deploy.Deployment, traffic []load.Config, seed uint64) func() []load.Sample {
	entries := make([]string, len(d.Entries))
	for i, p := range d.Entries {
		entries[i] = p.URL()
	}
	results := make([]load.Result, len(traffic))
	var group sync.WaitGroup
	for i, cfg := range traffic {
		if cfg.Entries == nil {
			cfg.Entries = entries
		}
		cfg.Seed = seed + uint64(i)
		cfg.Model, cfg.Service = deploy.ModelService, deploy.OrderService
		cfg.Poisson, cfg.Resend = true, true
		group.Go(func() { results[i] = load.Run(ctx, cfg) })
	}
	return func() []load.Sample {
		group.Wait()
		var samples []load.Sample
		for _, r := range results {
			samples = append(samples, r.Samples...)
		}
		return samples
	}
}

// seriesInterval is the time between two points of a series of rates.
const seriesInterval = 500 * time.Millisecond

// rateSeries returns two series of requests a second by the time of their end: of the
// requests that completed in time, and of all others.
func rateSeries(samples []load.Sample, begin, end time.Time) []plot.Series {
	n := int(end.Sub(begin) / seriesInterval)
	inTime, others := make([]float64, n), make([]float64, n)
	for _, s := range samples {
		i := int(s.SentAt.Add(s.Duration).Sub(begin) / seriesInterval)
		switch {
		case i < 0 || i >= n:
		case s.Outcome == load.OutcomeComplete:
			inTime[i] += 1 / seriesInterval.Seconds()
		default:
			others[i] += 1 / seriesInterval.Seconds()
		}
	}
	step := seriesInterval.Seconds()
	return []plot.Series{{Name: "in time", Points: inTime, Step: step}, {Name: "late, refused or failed", Points: others, Step: step}}
}
