package demo

import (
	"context"
	"fmt"
	"os/exec"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// raisedCeiling is the new ceiling of the organisation that has one, in tokens a second.
const raisedCeiling = 400

// editTable changes the table while traffic runs: it takes a failure domain out of
// service by a command to the first entry, then raises a ceiling over HTTP and returns
// the failure domain to service through the last entry.
func editTable(ctx context.Context, d *deploy.Deployment, program string, duration time.Duration) error {
	pause := duration / 4
	last := len(d.Entries) - 1
	domain := d.Config.FailureDomains[len(d.Config.FailureDomains)-1]
	time.Sleep(pause)
	if err := runCommand(ctx, program, "domain", domain, "out", "--entry", d.Entries[0].URL()); err != nil {
		return err
	}
	time.Sleep(pause)
	if err := raiseCeiling(ctx, d, last); err != nil {
		return err
	}
	time.Sleep(pause)
	return runCommand(ctx, program, "domain", domain, "in", "--entry", d.Entries[last].URL())
}

// runCommand runs an operators' command and prints it with its output.
func runCommand(ctx context.Context, program string, args ...string) error {
	fmt.Println("  acaciaglade", args[0], args[1], args[2])
	cmd := exec.CommandContext(ctx, program, append(args, "--operator-token", deploy.OperatorToken)...)
	out, err := cmd.CombinedOutput()
	fmt.Printf("  %s", out)
	return errors.Wrap(err, "the operators' command failed; see its output above")
}

func raiseCeiling(ctx context.Context, d *deploy.Deployment, entry int) error {
	t, err := d.Operator(entry).Table(ctx)
	if err != nil {
		return err
	}
	for i := range t.Organisations {
		if t.Organisations[i].Ceiling > 0 {
			t.Organisations[i].Ceiling = raisedCeiling
		}
	}
	accepted, err := d.Operator(entry).PutTable(ctx, t)
	if err != nil {
		return err
	}
	fmt.Printf("  PUT /operator/v1/table: a ceiling raised to %d\n  accepted as version %d\n", raisedCeiling, accepted.Version)
	return nil
}
