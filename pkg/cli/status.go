package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/statement"
)

// printStatus prints the status of all hosts and upstreams as tables.
func printStatus(w io.Writer, s *operator.Status) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "entry\t%s\n", s.Entry)
	fmt.Fprintf(tw, "table\tversion %d here, %d is the newest\n", s.TableVersion, s.NewestVersion)
	fmt.Fprintf(tw, "store\t%s\n", storeState(s.Platform))
	for _, p := range s.Provisional {
		fmt.Fprintf(tw, "not yet in the table\t%s out, taken by %s\n", p.FailureDomain+p.Upstream, p.Entry)
	}
	fmt.Fprintln(tw, "\nHOST\tROLE\tFAILURE DOMAIN\tREACHABLE\tVERSION\tIN FORCE\tAGE")
	for _, h := range s.Hosts {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", h.Host, h.Role, h.FailureDomain, yesNo(h.Reachable), reportCells(h))
	}
	fmt.Fprintln(tw, "\nUPSTREAM\tSERVICE\tFAILURE DOMAIN\tRUNNING\tLIMIT\tREADY\tLEAVING\tMARK\tAGE")
	for _, u := range s.Upstreams {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", u.Upstream, u.Service, u.FailureDomain,
			u.Running, u.Limit, yesNo(u.Ready), yesNo(u.Draining), markName(u.OutOfService), formatAge(u.ReportAgeMillis))
	}
	if len(s.UpstreamStates) > 0 {
		fmt.Fprintln(tw, "\nUPSTREAM\tINCARNATION\tSERVICE\tSTATE\tSINCE\tUNTIL\tKNOWN FROM\tLISTED")
	}
	for i := range s.UpstreamStates {
		u := &s.UpstreamStates[i]
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%.1fs ago\t%s\t%s\t%s\n", u.Upstream, u.Incarnation, u.Service, u.State, u.SinceSeconds, stateEnd(u), u.Source, yesNo(u.Listed))
	}
	return errors.WithStack(tw.Flush())
}

// stateEnd describes the end of an upstream's state.
func stateEnd(s *statement.State) string {
	switch s.State {
	case statement.StatePaused:
		return fmt.Sprintf("in %.1fs", s.RemainingSeconds)
	case statement.StateResuming:
		return "its responses"
	default:
		return "its end"
	}
}

func storeState(p operator.PlatformStatus) string {
	switch {
	case p.Responds:
		return "answers"
	case p.HasResponded:
		return "does not answer; its latest answer has the age " + formatAge(p.ResponseAgeMillis)
	default:
		return "has never answered"
	}
}

// reportCells returns the cells of a host's row that come from its latest report.
func reportCells(h operator.HostStatus) string {
	if !h.HasReported {
		return "unknown\tunknown\tnever reported"
	}
	isCurrent := yesNo(h.IsCurrent)
	if !h.Reachable {
		isCurrent = "unknown"
	}
	return fmt.Sprintf("%d\t%s\t%s", h.Version, isCurrent, formatAge(h.ReportAgeMillis))
}

func formatAge(millis int64) string { return (time.Duration(millis) * time.Millisecond).String() }

func yesNo(ok bool) string {
	if ok {
		return "yes"
	}
	return "no"
}
