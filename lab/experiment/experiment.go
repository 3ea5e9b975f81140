// Package experiment runs named, seeded experiments on real processes. Each run
// writes its figures as JSON, a plot, and one line of result against its
// baseline.
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

// Experiment is one named experiment.
type Experiment struct {
	Name    string
	Summary string
	run     func(ctx context.Context, b *bench) (*Result, error)
}

// all is every experiment.
var all = []Experiment{domainLeaves, storeOutage, upstreamLoss, priorityArrival, overload, proxyCost, atMostOnce}

// Command is the experiment command.
type Command struct {
	Seed uint64 `long:"seed" default:"1" description:"Seed of the arrivals."`
	Out  string `long:"out" default:"results/tmp" description:"Folder that the results are written to."`
	Bin  string `long:"bin" description:"Folder of built programs. Empty: they are built first."`
	List bool   `long:"list" description:"List the experiments."`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Name of the experiment."`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	if c.List {
		for _, e := range all {
			fmt.Printf("%-16s %s\n", e.Name, e.Summary)
		}
		return nil
	}
	i := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == c.Args.Name })
	if i < 0 {
		return errors.Errorf("no experiment %q; see lab experiment --list", c.Args.Name)
	}
	return c.execute(&all[i])
}

func (c *Command) execute(e *Experiment) error {
	ctx := context.Background()
	folder, err := os.MkdirTemp("", "acaciaglade-experiment-")
	if err != nil {
		return errors.WithStack(err)
	}
	b := &bench{bin: c.Bin, logs: folder, seed: c.Seed, begin: time.Now()}
	if b.bin == "" {
		b.bin = folder
		b.progress("building the programs")
		if err := deploy.Build(ctx, folder); err != nil {
			return err
		}
	}
	b.progress("logs are in %s", folder)
	result, err := e.run(ctx, b)
	if err != nil {
		return err
	}
	result.Experiment, result.Seed = e.Name, c.Seed
	result.Machine = ThisMachine()
	result.Command = fmt.Sprintf("lab experiment %s --seed %d", e.Name, c.Seed)
	return c.write(result)
}

// write writes the JSON file and the plot, and prints the line of result.
func (c *Command) write(r *Result) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.WithStack(err)
	}
	base := filepath.Join(c.Out, fmt.Sprintf("%s-seed%d", r.Experiment, r.Seed))
	if err := WriteJSON(base+".json", r); err != nil {
		return err
	}
	if err := plot.Write(base+".png", r.figure()); err != nil {
		return err
	}
	fmt.Print(r.text())
	fmt.Printf("%s seed %d: %s\n", r.Experiment, r.Seed, r.line())
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

// Machine is where a run was made.
type Machine struct {
	Processors int `json:"processors"`
	// LoadAverage is the machine's at the end of the run. Above what the run
	// itself uses, other work ran beside it.
	LoadAverage string `json:"load_average"`
}

// ThisMachine describes the machine and how busy it is.
func ThisMachine() Machine {
	raw, _ := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(raw))
	return Machine{Processors: processors(), LoadAverage: strings.Join(fields[:min(3, len(fields))], " ")}
}
