package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
)

type quarantineListCommand struct{ connection }

// Execute implements flags.Commander.
func (c *quarantineListCommand) Execute([]string) error {
	r, err := c.client().Quarantine(context.Background())
	return printReport(&c.connection, r, err, printQuarantine)
}

type quarantineReleaseCommand struct {
	connection
	Args struct {
		Service string `positional-arg-name:"SERVICE" description:"Name of the service." required:"true"`
		Part    string `positional-arg-name:"PART" description:"The part as it is listed: the ID of a part of prompts, or request:FINGERPRINT." required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *quarantineReleaseCommand) Execute([]string) error {
	r, err := c.client().ReleasePart(context.Background(), c.Args.Service, c.Args.Part)
	return printReport(&c.connection, r, err, printQuarantine)
}

// printQuarantine prints the parts that are kept from upstreams as a table.
func printQuarantine(w io.Writer, r *operator.QuarantineReport) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "entry\t%s\n\n", r.Entry)
	fmt.Fprintln(tw, "SERVICE\tPART\tSTATE\tFOR\tUPSTREAMS THAT ENDED\tREQUESTS OF\tLATEST\tNEXT TRIAL\tREASON")
	for i := range r.Parts {
		s := &r.Parts[i]
		scope := s.Organisation
		if scope == "" {
			scope = "all"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s ago\tin %s\t%s\n", s.Service, s.Part, s.State, scope,
			strings.Join(s.Upstreams, " "), strings.Join(s.Organisations, " "), formatAge(s.AgeMillis), formatAge(s.TrialMillis), s.Reason)
	}
	return errors.WithStack(tw.Flush())
}
