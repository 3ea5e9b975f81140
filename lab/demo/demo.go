// Package demo runs a deployment, sends it traffic, and prints for each organisation the
// numbers of completed and refused requests with the reasons of the refusals.
package demo

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
	"github.com/acaciaglade/acaciaglade/pkg/server"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Command is the demo command.
type Command struct {
	Entries  int           `long:"entries" default:"4" description:"Entry hosts."`
	Models   int           `long:"models" default:"12" description:"Replicas of the model."`
	Orders   int           `long:"orders" default:"3" description:"Replicas of the order service."`
	Duration time.Duration `long:"duration" default:"5s" description:"Time for which traffic is sent."`
	Keep     bool          `long:"keep" description:"Keep the deployment running until interrupted."`
}

// startTimeout limits the time in which the deployment starts.
const startTimeout = 60 * time.Second

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	folder, err := os.MkdirTemp("", "acaciaglade-demo-")
	if err != nil {
		return errors.WithStack(err)
	}
	fmt.Println("building the programs")
	ctx := context.Background()
	if err := deploy.Build(ctx, folder); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fmt.Println("starting the deployment; logs are in", folder)
	d, err := deploy.Start(startCtx, folder, folder, c.config())
	if err != nil {
		return err
	}
	defer d.Stop()
	fmt.Printf("%d entries and %d upstreams are ready; sending traffic for %s\n", len(d.Entries), len(d.Agents), c.Duration)
	edited := make(chan error, 1)
	go func() { edited <- editTable(ctx, d, filepath.Join(folder, "acaciaglade"), c.Duration) }()
	results := c.sendTraffic(ctx, d)
	if err := <-edited; err != nil {
		return err
	}
	if err := printResults(results); err != nil {
		return err
	}
	if !c.Keep {
		return nil
	}
	fmt.Printf("\nthe operators' page: %s/operator/ (token %s)\n", d.Entries[0].URL(), deploy.OperatorToken)
	fmt.Printf("the operators' commands: %s status --entry %s --operator-token %s\n", filepath.Join(folder, "acaciaglade"), d.Entries[0].URL(), deploy.OperatorToken)
	fmt.Println("stop with Ctrl-C")
	interrupted, stop := server.SignalContext()
	defer stop()
	<-interrupted.Done()
	return nil
}

// organisations are the callers of the demo.
var organisations = []table.Organisation{
	{Name: "engraver", Weight: 1, Priority: true},
	{Name: "franchise", Weight: 3},
	{Name: "cards", Weight: 1},
	{Name: "metered", Weight: 1, Ceiling: 200},
}

// Token returns the bearer token of a demo organisation.
func Token(organisation string) string { return "token-of-" + organisation }

// Table returns the first table of the demo, with the given failure domains.
func Table(domains []string) table.Table {
	t := table.Table{
		Services: []table.Service{
			{Name: deploy.ModelService, Kind: table.KindModel},
			{Name: deploy.OrderService, Kind: table.KindPlain},
		},
	}
	for _, o := range organisations {
		o.TokenHash = table.HashToken(Token(o.Name))
		t.Organisations = append(t.Organisations, o)
	}
	for _, name := range domains {
		t.FailureDomains = append(t.FailureDomains, table.FailureDomain{Name: name})
	}
	return t
}

func (c *Command) config() deploy.Config {
	domains := []string{"fd-a", "fd-b", "fd-c"}
	return deploy.Config{
		FailureDomains: domains,
		Entries:        c.Entries,
		Models:         c.Models,
		Orders:         c.Orders,
		HostListLag:    time.Second,
		EngineArgs:     []string{"--load-lag", "200ms"},
		Table:          Table(domains),
	}
}

// sendTraffic sends chat completions and confirmations of each organisation at a fixed
// open-loop rate for the duration of the demo, and returns their results.
func (c *Command) sendTraffic(ctx context.Context, d *deploy.Deployment) []load.Result {
	entries := make([]string, len(d.Entries))
	for i, p := range d.Entries {
		entries[i] = p.URL()
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var results []load.Result
	for _, o := range organisations {
		for _, kind := range []load.Kind{load.KindChat, load.KindConfirm} {
			group.Go(func() {
				r := load.Run(ctx, load.Config{
					Entries: entries, Organisation: o.Name, Token: Token(o.Name), Kind: kind,
					PerSecond: 10, Tokens: 24, Model: deploy.ModelService, Service: deploy.OrderService,
				})
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	}
	group.Wait()
	slices.SortFunc(results, func(a, b load.Result) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Kind, b.Kind))
	})
	return results
}

func printResults(results []load.Result) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ORGANISATION\tWORK\tSENT\tCOMPLETE\tTOKENS\tREFUSED")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%s\n", r.Organisation, r.Kind, r.Sent, r.Complete, r.Tokens, r.RefusalSummary())
	}
	return errors.WithStack(tw.Flush())
}
