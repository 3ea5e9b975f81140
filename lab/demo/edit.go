package demo

import (
	"context"
	"fmt"
	"os/exec"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// editedCeiling is the ceiling that the demo gives its organisation with a
// ceiling, in tokens per second.
const editedCeiling = 400

// edit changes the table while traffic runs: a failure domain is taken out by
// command, a ceiling is raised over HTTP, and the failure domain is taken in
// again, each through another entry.
func edit(ctx context.Context, d *deploy.Deployment, program string, during time.Duration) error {
	pause := during / 4
	last := len(d.Entries) - 1
	domain := d.Config.FailureDomains[len(d.Config.FailureDomains)-1]
	time.Sleep(pause)
	if err := command(ctx, program, "domain", domain, "out", "--entry", d.Entries[0].URL()); err != nil {
		return err
	}
	time.Sleep(pause)
	if err := raiseCeiling(ctx, d, last); err != nil {
		return err
	}
	time.Sleep(pause)
	return command(ctx, program, "domain", domain, "in", "--entry", d.Entries[last].URL())
}

// command runs an operators' command and prints it with its output.
func command(ctx context.Context, program string, args ...string) error {
	fmt.Println("  acaciaglade", args[0], args[1], args[2])
	cmd := exec.CommandContext(ctx, program, append(args, "--operator-token", deploy.OperatorToken)...)
	out, err := cmd.CombinedOutput()
	fmt.Printf("  %s", out)
	return errors.Wrap(err, "the command failed; read its output")
}

func raiseCeiling(ctx context.Context, d *deploy.Deployment, entry int) error {
	t, err := d.Operator(entry).Table(ctx)
	if err != nil {
		return err
	}
	for i := range t.Organisations {
		if t.Organisations[i].Ceiling > 0 {
			t.Organisations[i].Ceiling = editedCeiling
		}
	}
	accepted, err := d.Operator(entry).PutTable(ctx, t)
	if err != nil {
		return err
	}
	fmt.Printf("  PUT /operator/v1/table: a ceiling raised to %d\n  accepted as version %d\n", editedCeiling, accepted.Version)
	return nil
}
