package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// connection holds the flags that the operators' commands have in common.
type connection struct {
	Entry string `long:"entry" env:"ACACIAGLADE_ENTRY" default:"http://127.0.0.1:8080" description:"Base URL of any entry."`
	Token string `long:"operator-token" env:"ACACIAGLADE_OPERATOR_TOKEN" description:"Bearer token of the operators."`
	JSON  bool   `long:"json" description:"Print JSON."`
}

func (c *connection) client() *operator.Client {
	return operator.NewClient(strings.TrimSuffix(c.Entry, "/"), c.Token)
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}

// printReport prints a report by print, or as JSON, or returns the error of the call that
// requested it.
func printReport[T any](c *connection, report T, err error, print func(io.Writer, T) error) error {
	switch {
	case err != nil:
		return err
	case c.JSON:
		return printJSON(report)
	default:
		return print(os.Stdout, report)
	}
}

type tableShowCommand struct {
	connection
	CSV bool `long:"csv" description:"Print the organisations as CSV."`
}

// Execute implements flags.Commander.
func (c *tableShowCommand) Execute([]string) error {
	t, err := c.client().Table(context.Background())
	if err != nil {
		return err
	}
	switch {
	case c.JSON:
		return printJSON(t)
	case c.CSV:
		return table.WriteCSV(os.Stdout, t.Organisations)
	default:
		return printTable(os.Stdout, t)
	}
}

func printTable(w io.Writer, t *table.Table) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "version\t%d\n\n", t.Version)
	fmt.Fprintln(tw, "ORGANISATION\tWEIGHT\tCEILING\tPRIORITY")
	for _, o := range t.Organisations {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%t\n", o.Name, o.Weight, o.Ceiling, o.Priority)
	}
	fmt.Fprintln(tw, "\nSERVICE\tKIND\tIDEMPOTENT PATHS")
	for _, s := range t.Services {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", s.Name, s.Kind, strings.Join(s.IdempotentPaths, " "))
	}
	fmt.Fprintln(tw, "\nFAILURE DOMAIN\tMARK")
	for _, d := range t.FailureDomains {
		fmt.Fprintf(tw, "%s\t%s\n", d.Name, markName(d.OutOfService))
	}
	fmt.Fprintln(tw, "\nUPSTREAM\tMARK")
	for _, u := range t.Upstreams {
		fmt.Fprintf(tw, "%s\t%s\n", u.Name, markName(u.OutOfService))
	}
	return errors.WithStack(tw.Flush())
}

func markName(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

type tableApplyCommand struct {
	connection
	Args struct {
		File string `positional-arg-name:"FILE" description:"A .csv file of organisations, or a .json file of the whole table."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tableApplyCommand) Execute([]string) error {
	ctx := context.Background()
	next, err := c.readTable(ctx)
	if err != nil {
		return err
	}
	accepted, err := c.client().PutTable(ctx, next)
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

func (c *connection) printAccepted(t *table.Table) error {
	if c.JSON {
		return printJSON(t)
	}
	fmt.Printf("accepted as version %d\n", t.Version)
	return nil
}

func (c *connection) printMark(r *operator.MarkResult) error {
	if c.JSON {
		return printJSON(r)
	}
	if r.Provisional {
		fmt.Println("in force, not yet written:", r.Remedy)
		return nil
	}
	fmt.Printf("accepted as version %d\n", r.Version)
	return nil
}

// readTable reads the new table from the file. A CSV file replaces the organisations of the
// current table.
func (c *tableApplyCommand) readTable(ctx context.Context) (*table.Table, error) {
	file, err := os.Open(c.Args.File)
	if err != nil {
		return nil, errors.Wrap(err, "file can't be read; check its path")
	}
	defer file.Close()
	if strings.HasSuffix(c.Args.File, ".json") {
		var t table.Table
		return &t, errors.Wrap(json.NewDecoder(file).Decode(&t), "file is not a JSON table; see table show --json")
	}
	organisations, cellErrors := table.ReadCSV(file)
	if cellErrors != nil {
		return nil, cellErrors
	}
	current, err := c.client().Table(ctx)
	if err != nil {
		return nil, err
	}
	current.Organisations = organisations
	return current, nil
}

// markArgs holds the arguments of the commands that set marks.
type markArgs struct {
	Name string `positional-arg-name:"NAME" description:"Name of the failure domain or upstream."`
	Mark string `positional-arg-name:"out|in" description:"out of service, or in service."`
}

func (a *markArgs) check() error {
	if a.Mark != "out" && a.Mark != "in" {
		return errors.Errorf("mark %q is unknown; use out or in", a.Mark)
	}
	return nil
}

type domainCommand struct {
	connection
	Args markArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *domainCommand) Execute([]string) error {
	if err := c.Args.check(); err != nil {
		return err
	}
	result, err := c.client().MarkFailureDomain(context.Background(), c.Args.Name, c.Args.Mark)
	if err != nil {
		return err
	}
	return c.printMark(result)
}

type upstreamCommand struct {
	connection
	Args markArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	if err := c.Args.check(); err != nil {
		return err
	}
	result, err := c.client().MarkUpstream(context.Background(), c.Args.Name, c.Args.Mark)
	if err != nil {
		return err
	}
	return c.printMark(result)
}

type statusCommand struct {
	connection
	Organisation string `long:"organisation" description:"Show the account of one organisation."`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	s, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	if err := printStatus(os.Stdout, s); err != nil {
		return err
	}
	return c.printAccounts(os.Stdout, c.Organisation)
}
