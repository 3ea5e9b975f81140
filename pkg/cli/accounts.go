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

// shownAccounts is the number of accounts that status shows.
const shownAccounts = 20

// showAccounts prints what organisations asked for and got over the fleet.
func (c *connection) showAccounts(w io.Writer, organisation string) error {
	r, err := c.client().Accounts(context.Background(), accounting.Query{Organisation: organisation, Limit: shownAccounts}, true)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "\naccounts of %d entries since each started%s\n\n", len(r.Entries), missing(r.Unreachable))
	fmt.Fprintln(tw, "ORGANISATION\tASKED\tTOKENS ASKED\tCOMPLETE\tTOKENS GOT\tREFUSED\tWHY")
	for _, a := range r.Accounts {
		fmt.Fprintf(tw, "%s\t%d\t%.0f\t%d\t%.0f\t%d\t%s\n", a.Organisation, a.Requests, a.RequestedCost, a.Completed, a.DeliveredCost, a.Refused, reasons(a.Refusals))
	}
	return errors.WithStack(tw.Flush())
}

func missing(unreachable []string) string {
	if len(unreachable) == 0 {
		return ""
	}
	return "; no answer from " + strings.Join(unreachable, " ")
}

func reasons(refusals []accounting.RefusalCount) string {
	parts := make([]string, len(refusals))
	for i, f := range refusals {
		parts[i] = fmt.Sprintf("%d %s (ran: %s)", f.Count, f.Reason, f.Ran)
	}
	return strings.Join(parts, ", ")
}

type explainCommand struct {
	connection
	Args struct {
		ID string `positional-arg-name:"ID" description:"The X-Request-Id of the answer."`
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
		return errors.Errorf("nothing is remembered about %q%s; hosts keep only the latest decisions, until they restart", r.RequestID, missing(r.Unreachable))
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME\tWHERE\tUPSTREAM\tDECISION\tWHY")
	for _, d := range r.Decisions {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", d.At.Format(time.RFC3339Nano), d.Host, d.Upstream, d.Action, d.Reason)
	}
	if len(r.Unreachable) > 0 {
		fmt.Fprintln(tw, strings.TrimPrefix(missing(r.Unreachable), "; "))
	}
	return errors.WithStack(tw.Flush())
}
