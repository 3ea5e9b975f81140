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

// Limits of one run.
const (
	maxProcesses = 300
	// memoryShare is the part of the machine's memory that a run may use.
	memoryShare = 0.5
	// watchInterval is the time between two looks at the memory.
	watchInterval = 500 * time.Millisecond
	startTimeout  = 40 * time.Second
)

// bench is where an experiment runs.
type bench struct {
	bin   string
	logs  string
	seed  uint64
	begin time.Time
}

// progress prints what happens now.
func (b *bench) progress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%5.1fs "+format+"\n", append([]any{time.Since(b.begin).Seconds()}, args...)...)
}

func processors() int { return runtime.NumCPU() }

// organisations of the experiments.
var (
	priority = table.Organisation{Name: "engraver", Weight: 1, Priority: true}
	large    = table.Organisation{Name: "franchise", Weight: 3}
	small    = table.Organisation{Name: "cards", Weight: 1}
)

func token(o table.Organisation) string { return "token-of-" + o.Name }

// firstTable returns the table that experiments start with.
func firstTable(domains []string) table.Table {
	t := table.Table{Services: []table.Service{
		{Name: deploy.ModelService, Kind: table.KindModel},
		{Name: deploy.OrderService, Kind: table.KindPlain},
	}}
	for _, o := range []table.Organisation{priority, large, small} {
		o.TokenHash = table.HashToken(token(o))
		t.Organisations = append(t.Organisations, o)
	}
	for _, name := range domains {
		t.FailureDomains = append(t.FailureDomains, table.FailureDomain{Name: name})
	}
	return t
}

var domains = []string{"fd-a", "fd-b", "fd-c"}

// start starts a deployment with a table and three failure domains.
func (b *bench) start(ctx context.Context, shape deploy.Config) (*deploy.Deployment, error) {
	shape.FailureDomains = domains
	shape.Table = firstTable(domains)
	if n := 2 * (shape.Entries + shape.Models + shape.Orders); n > maxProcesses {
		return nil, errors.Errorf("%d processes are more than %d; choose a smaller deployment", n, maxProcesses)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b.progress("starting %d entries, %d models and %d order services", shape.Entries, shape.Models, shape.Orders)
	return deploy.Start(ctx, b.bin, b.logs, shape)
}

// errMemory stops a run that needs too much memory.
var errMemory = errors.New("the run used half of the machine's memory; choose a smaller deployment")

// watchMemory ends the context when the deployment uses too much memory.
func watchMemory(ctx context.Context, d *deploy.Deployment, cancel context.CancelCauseFunc) {
	limit := int64(memoryShare * float64(totalMemory()))
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if d.MemoryBytes() > limit {
				cancel(errMemory)
			}
		}
	}
}

// totalMemory returns the machine's memory in bytes.
func totalMemory() int64 {
	raw, _ := os.ReadFile("/proc/meminfo")
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
	return kilobytes << 10
}

// step is one part of a run: what is done at its start, and how long it lasts.
type step struct {
	name string
	do   func(ctx context.Context) error
	last time.Duration
}

// drive sends traffic while the steps go by, and returns what became of it.
func (b *bench) drive(ctx context.Context, d *deploy.Deployment, name string, traffic []load.Config, steps []step) (*Variant, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go watchMemory(ctx, d, cancel)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	collect := send(sending, d, traffic, b.seed)
	begin := time.Now()
	var marks []mark
	for _, s := range steps {
		b.progress("%s: %s", name, s.name)
		marks = append(marks, mark{name: s.name, at: time.Now()})
		if s.do != nil {
			if err := s.do(ctx); err != nil {
				return nil, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(s.last):
		}
	}
	end := time.Now()
	stop()
	samples := collect()
	return &Variant{Name: name, Phases: phases(samples, marks, end), Series: rates(samples, begin, end)}, nil
}

// send starts the traffic and returns a function that waits for its end.
func send(ctx context.Context, d *deploy.Deployment, traffic []load.Config, seed uint64) func() []load.Sample {
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

// seriesStep is the width of the points of rates.
const seriesStep = 500 * time.Millisecond

// rates returns the rate of requests that completed in time, and of the others,
// by the time at which they ended.
func rates(samples []load.Sample, begin, end time.Time) []plot.Series {
	n := int(end.Sub(begin) / seriesStep)
	good, bad := make([]float64, n), make([]float64, n)
	for _, s := range samples {
		i := int(s.SentAt.Add(s.Duration).Sub(begin) / seriesStep)
		switch {
		case i < 0 || i >= n:
		case s.Outcome == load.OutcomeComplete:
			good[i] += 1 / seriesStep.Seconds()
		default:
			bad[i] += 1 / seriesStep.Seconds()
		}
	}
	step := seriesStep.Seconds()
	return []plot.Series{{Name: "in time", Points: good, Step: step}, {Name: "late, refused or failed", Points: bad, Step: step}}
}
