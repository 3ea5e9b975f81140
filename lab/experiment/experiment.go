// Package experiment runs named and seeded experiments on real processes. Each run
// writes its results as JSON and as a plot, and prints one line that compares them with
// the experiment's goals.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/plot"
)

// Experiment is a named experiment.
type Experiment struct {
	Name    string
	Summary string
	run     func(ctx context.Context, b *bench) (*Result, error)
}

// experiments lists all experiments.
var experiments = []Experiment{domainLeaves, storeOutage, upstreamLoss, priorityArrival, overload, proxyCost, atMostOnce}

// Command is the experiment command.
type Command struct {
	Seed uint64 `long:"seed" default:"1" description:"Seed of the arrivals."`
	Out  string `long:"out" default:"results/tmp" description:"Folder that the results are written to."`
	Bin  string `long:"bin" description:"Folder of the built programs. If empty, the programs are built first."`
	List bool   `long:"list" description:"List the experiments."`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the experiment."`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	if c.List {
		for _, e := range experiments {
			fmt.Printf("%-16s %s\n", e.Name, e.Summary)
		}
		return nil
	}
	i := slices.IndexFunc(experiments, func(e Experiment) bool { return e.Name == c.Args.Name })
	if i < 0 {
		return errors.Errorf("no experiment %q; see lab experiment --list", c.Args.Name)
	}
	return c.runAndWrite(&experiments[i])
}

func (c *Command) runAndWrite(e *Experiment) error {
	ctx := context.Background()
	folder, err := os.MkdirTemp("", "acaciaglade-experiment-")
	if err != nil {
		return errors.WithStack(err)
	}
	b := &bench{bin: c.Bin, logs: folder, seed: c.Seed, begin: time.Now()}
	if b.bin == "" {
		b.bin = folder
		b.printProgress("building the programs")
		if err := deploy.Build(ctx, folder); err != nil {
			return err
		}
	}
	b.printProgress("logs are in %s", folder)
	result, err := e.run(ctx, b)
	if err != nil {
		return err
	}
	result.Experiment, result.Seed = e.Name, c.Seed
	result.Machine = ThisMachine()
	result.Command = fmt.Sprintf("lab experiment %s --seed %d", e.Name, c.Seed)
	return c.writeResult(result)
}

// writeResult writes the JSON file and the plot, and prints the counts and the summary
// line.
func (c *Command) writeResult(r *Result) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.WithStack(err)
	}
	base := filepath.Join(c.Out, fmt.Sprintf("%s-seed%d", r.Experiment, r.Seed))
	if err := WriteJSON(base+".json", r); err != nil {
		return err
	}
	if err := plot.Write(base+".png", r.plotFigure()); err != nil {
		return err
	}
	fmt.Print(r.countsTable())
	fmt.Printf("%s seed %d: %s\n", r.Experiment, r.Seed, r.summaryLine())
	return nil
}

// WriteJSON writes a value to a file as indented JSON.
func WriteJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, append(raw, '\n'), 0o644))
}

// Machine describes the machine of a run.
type Machine struct {
	Processors int `json:"processors"`
	// LoadAverage is the load average at the end of the run. If it is higher than the
	// run's own load, other processes were running.
	LoadAverage string `json:"load_average"`
}

// ThisMachine returns the number of processors and the load average of this machine.
func ThisMachine() Machine {
	raw, _ := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(raw))
	return Machine{Processors: processorCount(), LoadAverage: strings.Join(fields[:min(3, len(fields))], " ")}
}
