package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// Command runs the soak with a range of seeds.
type Command struct {
	From    uint64        `long:"from" default:"1" description:"First seed."`
	Seeds   int           `long:"seeds" default:"1" description:"Number of seeds."`
	Jobs    int           `long:"jobs" default:"2" description:"Number of concurrent runs."`
	Faults  time.Duration `long:"faults" default:"15s" description:"Period in which faults begin."`
	Entries int           `long:"entries" default:"3" description:"Number of entries."`
	Ranks   int           `long:"ranks" default:"4" description:"Number of ranks of the model's group, each with an agent."`
	Plain   int           `long:"plain" default:"4" description:"Number of plain upstreams."`
	Dir     string        `long:"dir" description:"Directory for settings and logs. Those of runs with violations are kept. Default: a temporary directory."`
	Verbose bool          `long:"verbose" description:"Print each fault when it begins."`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	dir, err := c.prepare()
	if err != nil {
		return err
	}
	var runs sync.WaitGroup
	slots, failed := make(chan struct{}, max(1, c.Jobs)), make(chan uint64, c.Seeds)
	for seed := c.From; seed < c.From+uint64(c.Seeds); seed++ {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			if !c.runSeed(dir, seed) {
				failed <- seed
			}
		})
	}
	runs.Wait()
	close(failed)
	var seeds []uint64
	for seed := range failed {
		seeds = append(seeds, seed)
	}
	if len(seeds) > 0 {
		return errors.Errorf("runs with the seeds %v failed or violated an invariant; see their logs below %s", seeds, dir)
	}
	fmt.Printf("%d seeds from %d: no violations\n", c.Seeds, c.From)
	return nil
}

// prepare builds the programs and returns the directory for the runs.
func (c *Command) prepare() (string, error) {
	dir := c.Dir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "soak")
		if err != nil {
			return "", errors.WithStack(err)
		}
		dir = temporary
	}
	return dir, deploy.Build(context.Background(), filepath.Join(dir, "bin"))
}

// runSeed runs one seed, prints its result, and reports whether the run completed
// without violations.
func (c *Command) runSeed(dir string, seed uint64) bool {
	cfg := Config{
		Size: DeploymentSize{Entries: c.Entries, Ranks: c.Ranks, PlainUpstreams: c.Plain}, Bin: filepath.Join(dir, "bin"),
		Dir: filepath.Join(dir, fmt.Sprint("seed", seed)), Seed: seed, FaultTime: c.Faults,
	}
	if c.Verbose {
		cfg.Out = os.Stdout
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	result, err := Run(cfg)
	if err != nil {
		fmt.Printf("seed %d: run failed: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d violations, %v, %d store calls, %d passes, %d epochs, crashes by part %v\n", seed, len(result.Violations), result.Counts, result.StoreCalls, result.Passes, result.Epochs, result.Crashes)
	for _, text := range result.Violations {
		fmt.Printf("seed %d: %s\n", seed, text)
	}
	if err := result.RemoveCleanLogs(cfg.Dir); err != nil {
		fmt.Printf("seed %d: logs not removed: %v\n", seed, err)
	}
	return len(result.Violations) == 0
}
