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

// Command plays runs with many seeds.
type Command struct {
	From    uint64        `long:"from" default:"1" description:"First seed."`
	Seeds   int           `long:"seeds" default:"1" description:"Number of seeds."`
	Jobs    int           `long:"jobs" default:"2" description:"Runs at once."`
	Faults  time.Duration `long:"faults" default:"15s" description:"Time in which faults begin."`
	Entries int           `long:"entries" default:"3" description:"Entries."`
	Ranks   int           `long:"ranks" default:"4" description:"Ranks of the model's group, each with an agent."`
	Plain   int           `long:"plain" default:"4" description:"Plain upstreams."`
	Dir     string        `long:"dir" description:"Directory of settings and logs. Those of runs that broke a promise are kept. Default: a temporary one."`
	Verbose bool          `long:"verbose" description:"Print the faults as they begin."`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	dir, err := c.prepare()
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	slots, broken := make(chan struct{}, max(1, c.Jobs)), make(chan uint64, c.Seeds)
	for seed := c.From; seed < c.From+uint64(c.Seeds); seed++ {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if !c.play(dir, seed) {
				broken <- seed
			}
		})
	}
	group.Wait()
	close(broken)
	var seeds []uint64
	for seed := range broken {
		seeds = append(seeds, seed)
	}
	if len(seeds) > 0 {
		return errors.Errorf("seeds %v broke a promise; their logs are below %s", seeds, dir)
	}
	fmt.Printf("%d seeds from %d: nothing broken\n", c.Seeds, c.From)
	return nil
}

// prepare builds the programs and returns the directory of the runs.
func (c *Command) prepare() (string, error) {
	dir := c.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "soak")
		if err != nil {
			return "", errors.WithStack(err)
		}
		dir = made
	}
	return dir, deploy.Build(context.Background(), filepath.Join(dir, "bin"))
}

// play plays one seed, prints what it saw, and reports whether all was kept.
func (c *Command) play(dir string, seed uint64) bool {
	cfg := Config{
		Shape: DeploymentSize{Entries: c.Entries, Ranks: c.Ranks, PlainUpstreams: c.Plain}, Bin: filepath.Join(dir, "bin"),
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
		fmt.Printf("seed %d: not played: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d broken, %v, %d store calls, %d passes, %d epochs\n", seed, len(result.Violations), result.Counts, result.Calls, result.Passes, result.Epochs)
	for _, text := range result.Violations {
		fmt.Printf("seed %d: %s\n", seed, text)
	}
	if err := result.Save(cfg.Dir); err != nil {
		fmt.Printf("seed %d: logs not removed: %v\n", seed, err)
	}
	return len(result.Violations) == 0
}
