package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/accounting"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
)

// maxShownAccounts is the number of accounts that the status command prints.
const maxShownAccounts = 20

// printAccounts prints the organisations' accounts, merged over all entries.
func (c *connection) printAccounts(w io.Writer, organisation string) error {
	r, err := c.client().Accounts(context.Background(), accounting.Query{Organisation: organisation, Limit: maxShownAccounts}, true)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "\naccounts of %d entries since each started%s\n\n", len(r.Entries), unreachableNote(r.Unreachable))
	fmt.Fprintln(tw, "ORGANISATION\tASKED\tTOKENS ASKED\tCOMPLETE\tTOKENS GOT\tREFUSED\tWHY")
	for _, a := range r.Accounts {
		fmt.Fprintf(tw, "%s\t%d\t%.0f\t%d\t%.0f\t%d\t%s\n", a.Organisation, a.Requests, a.RequestedCost, a.Completed, a.DeliveredCost, a.Refused, formatRefusals(a.Refusals))
	}
	return errors.WithStack(tw.Flush())
}

func unreachableNote(unreachable []string) string {
	if len(unreachable) == 0 {
		return ""
	}
	return "; no answer from " + strings.Join(unreachable, " ")
}

func formatRefusals(refusals []accounting.RefusalCount) string {
	texts := make([]string, len(refusals))
	for i, f := range refusals {
		texts[i] = fmt.Sprintf("%d %s (ran: %s)", f.Count, f.Reason, f.Ran)
	}
	return strings.Join(texts, ", ")
}

type explainCommand struct {
	connection
	Args struct {
		ID string `positional-arg-name:"ID" description:"X-Request-Id header of the response."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	r, err := c.client().Decisions(context.Background(), c.Args.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(r)
	}
	return printDecisions(os.Stdout, r)
}

func printDecisions(w io.Writer, r *operator.DecisionsReport) error {
	if len(r.Decisions) == 0 {
		return errors.Errorf("no decisions about request %q are stored%s; hosts keep only the latest decisions, until they restart", r.RequestID, unreachableNote(r.Unreachable))
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME\tWHERE\tUPSTREAM\tDECISION\tWHY")
	for _, d := range r.Decisions {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", d.At.Format(time.RFC3339Nano), d.Host, d.Upstream, d.Action, d.Reason)
	}
	if len(r.Unreachable) > 0 {
		fmt.Fprintln(tw, strings.TrimPrefix(unreachableNote(r.Unreachable), "; "))
	}
	return errors.WithStack(tw.Flush())
}
