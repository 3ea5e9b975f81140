package maps

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Command simulates the policies for expert maps and prints their results.
type Command struct {
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the workload."`
	JSON     bool          `long:"json" description:"Write the result as JSON."`
	Plot     string        `long:"plot" description:"Write plots to files that begin with this name."`
	Zipf     float64       `long:"zipf" default:"1" description:"Exponent of the Zipf distribution of the popularity."`
	Slots    int           `long:"slots" default:"3" description:"Number of experts of a layer that a rank can hold."`
	Ranks    int           `long:"ranks" default:"32" description:"Number of ranks."`
	Experts  int           `long:"experts" default:"64" description:"Number of experts of a layer."`
	Layers   int           `long:"layers" default:"8" description:"Number of layers."`
	Picks    float64       `long:"picks" default:"8192" description:"Expert selections of a step in one layer."`
	Duration time.Duration `long:"duration" default:"1h" description:"Duration in virtual time."`
	Timer    time.Duration `long:"timer" default:"1m" description:"Interval of the timer policy."`
	Args     struct {
		Scenario string `positional-arg-name:"NAME" description:"steady, drift, shift or straggler."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	result, err := Run(c.config())
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := result.Plot(c.Plot+"-skew.png", c.Plot+"-bytes.png"); err != nil {
			return err
		}
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return errors.WithStack(out.Encode(result))
	}
	return result.print()
}

func (c *Command) config() Config {
	cfg := DefaultConfig(Scenario(c.Args.Scenario), c.Seed)
	cfg.Size.Ranks, cfg.Size.Experts, cfg.Size.Slots, cfg.Size.Layers = c.Ranks, c.Experts, c.Slots, c.Layers
	cfg.Zipf = c.Zipf
	cfg.Picks = c.Picks
	cfg.Duration = c.Duration
	cfg.TimerInterval = c.Timer
	cfg.Planner = PlannerConfig(cfg.Size, cfg.Cost)
	return cfg
}

func (r *Result) print() error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "POLICY\tEXPECTED\tP50\tP99\tSAMPLED\tP50\tP99\tGAP CLOSED\tRECOVERY s\tGB/h\tSTEPS LOST/h\tSWITCHES/h")
	for _, o := range r.Outcomes {
		fmt.Fprintf(tw, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f\t%.0f\t%.0f\n", o.Policy, o.ExpectedMean, o.ExpectedP50,
			o.ExpectedP99, o.SampledMean, o.SampledP50, o.SampledP99, o.GapClosed, o.RecoverySeconds, o.GigabytesPerHour, o.StepsLostPerHour, o.SwitchesPerHour)
	}
	return errors.WithStack(tw.Flush())
}
