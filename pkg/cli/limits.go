package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
)

type limitListCommand struct{ connection }

// Execute implements flags.Commander.
func (c *limitListCommand) Execute([]string) error {
	r, err := c.client().Limits(context.Background())
	return printReport(&c.connection, r, err, printLimits)
}

// printLimits prints the limits that upstreams name as a table.
func printLimits(w io.Writer, r *operator.LimitReport) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "entry\t%s\n\n", r.Entry)
	fmt.Fprintln(tw, "SERVICE\tUPSTREAM\tLIMIT PER SECOND\tOF THIS ENTRY\tSINCE\tCONFIRMED\tKNOWN FROM")
	for i := range r.Limits {
		l := &r.Limits[i]
		fmt.Fprintf(tw, "%s\t%s\t%g\t%.2f\t%.1fs ago\t%.1fs ago\t%s\n", l.Service, l.Upstream, l.Rate, l.OwnRate, l.SinceSeconds, l.ConfirmedSeconds, l.ReceivedBy)
	}
	return errors.WithStack(tw.Flush())
}
