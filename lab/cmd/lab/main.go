// Command lab runs simulators of the systems around acaciaglade, the demo, and
// experiments in real and in virtual time.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/engine"
	"github.com/acaciaglade/acaciaglade/lab/experiment"
	"github.com/acaciaglade/acaciaglade/lab/hostlist"
	"github.com/acaciaglade/acaciaglade/lab/maps"
	"github.com/acaciaglade/acaciaglade/lab/objectapi"
	"github.com/acaciaglade/acaciaglade/lab/orders"
	"github.com/acaciaglade/acaciaglade/lab/slope"
	"github.com/acaciaglade/acaciaglade/lab/soak"
	"github.com/acaciaglade/acaciaglade/lab/virtual"
	"github.com/acaciaglade/acaciaglade/pkg/server"
)

// listenFlag is the setting that all simulators have.
type listenFlag struct {
	Listen string `long:"listen" required:"yes" description:"Address to listen on."`
}

func (f *listenFlag) serve(register func(*echo.Echo)) error {
	e := server.NewEcho()
	register(e)
	return e.Start(f.Listen)
}

type engineCommand struct {
	listenFlag
	Model          string        `long:"model" default:"draft" description:"Name of the model."`
	Slots          int           `long:"slots" default:"32" description:"Maximum number of requests that run at once."`
	Step           time.Duration `long:"step" default:"10ms" description:"Duration of a step with an empty batch."`
	StepPerRequest time.Duration `long:"step-per-request" default:"500us" description:"Time that each running request adds to a step."`
	ColdSteps      int           `long:"cold-steps" default:"20" description:"Number of steps in which a cold engine warms up."`
	LoadLag        time.Duration `long:"load-lag" default:"0s" description:"Age of the load that the engine reports."`
	ColdFactor     float64       `long:"cold-factor" default:"4" description:"Factor by which the steps of a cold engine take longer."`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	s := engine.New(engine.Config{
		Model: c.Model, Slots: c.Slots, StepTime: c.Step, StepTimePerRequest: c.StepPerRequest,
		WarmupSteps: c.ColdSteps, ColdSlowdown: c.ColdFactor, LoadLag: c.LoadLag,
	})
	go s.Run()
	return c.serve(s.Register)
}

type rankCommand struct {
	listenFlag
	engine.RankCommand
}

// Execute implements flags.Commander.
func (c *rankCommand) Execute([]string) error {
	register, err := c.Start()
	if err != nil {
		return err
	}
	return c.serve(register)
}

type ordersCommand struct {
	listenFlag
	Delay time.Duration `long:"delay" default:"20ms" description:"Duration of a confirmation."`
}

// Execute implements flags.Commander.
func (c *ordersCommand) Execute([]string) error { return c.serve(orders.New(c.Delay).Register) }

type objectsCommand struct {
	listenFlag
	Writes int `long:"writes-per-second" default:"300" description:"Maximum number of writes a second."`
	Reads  int `long:"reads-per-second" default:"2000" description:"Maximum number of reads a second."`
}

// Execute implements flags.Commander.
func (c *objectsCommand) Execute([]string) error {
	return c.serve(objectapi.New(objectapi.Config{WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads}).Register)
}

type hostsCommand struct {
	listenFlag
	Lag time.Duration `long:"lag" default:"1s" description:"Time until a change is visible."`
}

// Execute implements flags.Commander.
func (c *hostsCommand) Execute([]string) error { return c.serve(hostlist.New(c.Lag, nil).Register) }

func main() {
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "lab"
	for _, command := range []struct {
		name, description string
		data              any
	}{
		{"engine", "Run a simulator of a model engine", &engineCommand{}},
		{"rank", "Run a simulator of one rank of a group", &rankCommand{}},
		{"orders", "Run a simulator of an order-handling service", &ordersCommand{}},
		{"objects", "Run a simulator of the platform's object API", &objectsCommand{}},
		{"hosts", "Run a simulator of the platform's host list", &hostsCommand{}},
		{"maps", "Measure policies for expert maps in virtual time", &maps.Command{}},
		{"virtual", "Run the dispatch and admission decisions in virtual time", &virtual.Command{}},
		{"demo", "Run a deployment and send it traffic", &demo.Command{}},
		{"experiment", "Run an experiment and write its results", &experiment.Command{}},
		{"soak", "Inject faults into the programs as they run on the platform, and check their invariants", &soak.Command{}},
		{"slope", "Measure how resource usage grows with one size of the deployment", &slope.Command{}},
	} {
		if _, err := parser.AddCommand(command.name, command.description, command.description, command.data); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
