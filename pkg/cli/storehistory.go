package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
)

type storeShowCommand struct{ connection }

// Execute implements flags.Commander.
func (c *storeShowCommand) Execute([]string) error {
	r, err := c.client().StoreHistory(context.Background())
	return printReport(&c.connection, r, err, printStoreHistory)
}

// printStoreHistory prints the history of the platform's store as an entry knows it.
func printStoreHistory(w io.Writer, r *operator.StoreHistoryReport) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "entry\t%s\nera\t%d, seen %.1fs ago\n\n", r.Entry, r.Era, r.SinceSeconds)
	fmt.Fprintln(tw, "KIND\tERA\tREVISION")
	for _, k := range r.Kinds {
		fmt.Fprintf(tw, "%s\t%d\t%d\n", k.Kind, k.Era, k.Revision)
	}
	return errors.WithStack(tw.Flush())
}
