package virtual

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// configs returns the configurations of all runs by name.
func configs() map[string]func(seed uint64) Config {
	runs := map[string]func(seed uint64) Config{
		"shares": SharesConfig,
		"shares-not-exchanged": func(seed uint64) Config {
			cfg := SharesConfig(seed)
			cfg.NoShares = true
			return cfg
		},
		"priority-idle": func(seed uint64) Config { return PriorityConfig(seed, QueueOnly, false) },
	}
	for _, mode := range PriorityModes() {
		runs["priority-"+string(mode)] = func(seed uint64) Config { return PriorityConfig(seed, mode, true) }
	}
	for _, factor := range []float64{0.5, 1, 2, 5} {
		runs[fmt.Sprintf("overload-%g", factor)] = func(seed uint64) Config { return OverloadConfig(seed, factor) }
	}
	for _, limit := range []Limiting{StepTimed, TimedRamp, FixedLimit} {
		runs["cold-"+string(limit)] = func(seed uint64) Config { return ColdConfig(seed, limit, TurnCold) }
		runs["restart-"+string(limit)] = func(seed uint64) Config { return ColdConfig(seed, limit, Restart) }
		runs["stop-"+string(limit)] = func(seed uint64) Config { return ColdConfig(seed, limit, Stop) }
	}
	for _, routing := range []Routing{LeastLoad, TwoChoices, PrefixAffinity} {
		runs["routing-"+string(routing)] = func(seed uint64) Config { return PrefixConfig(seed, routing, 0.25) }
	}
	return runs
}

// Command simulates one of the named runs and prints its results.
type Command struct {
	Seed uint64 `long:"seed" default:"1" description:"Seed of all randomness."`
	JSON bool   `long:"json" description:"Print all results as JSON."`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the run."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	runs := configs()
	config, ok := runs[c.Args.Name]
	if !ok {
		names := make([]string, 0, len(runs))
		for name := range runs {
			names = append(names, name)
		}
		slices.Sort(names)
		return errors.Errorf("unknown run %q; give one of: %s", c.Args.Name, strings.Join(names, " "))
	}
	r := Run(config(c.Seed))
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.WithStack(encoder.Encode(r))
	}
	fmt.Printf("goodput %.0f tokens/s, crashes %d, aborted requests %d, excess requests %d\n", r.Goodput, r.Crashes, r.Aborted, r.Excess)
	for _, o := range r.cfg.Organisations {
		m := r.organisation(&o)
		fmt.Printf("%-8s weight %d: %.0f tokens, completed %d, late %d, refused %d, first token p50 %s p99 %s\n",
			o.Name, o.Weight, m.Tokens, m.Completed, m.Late, m.Refused, m.FirstTokenP50, m.FirstTokenP99)
	}
	return nil
}
