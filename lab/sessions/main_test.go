// Package sessions holds the golden sessions: whole visits of callers and
// operators to real processes, under the failures that the system must bear.
package sessions

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/session"
)

// bin is the folder of the programs, built once.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "acaciaglade-sessions-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	bin = folder
	if err := deploy.Build(context.Background(), bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startTimeout bounds the start of a deployment.
const startTimeout = 60 * time.Second

// start starts a deployment that stops with the test. An empty table is the
// demo's.
func start(t *testing.T, shape deploy.Config) *deploy.Deployment {
	t.Helper()
	if shape.FailureDomains == nil {
		shape.FailureDomains = []string{"fd-a", "fd-b", "fd-c"}
	}
	if shape.Table.Services == nil {
		shape.Table = demo.Table(shape.FailureDomains)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	d, err := deploy.Start(ctx, bin, t.TempDir(), shape)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

// golden compares a session with its golden file. Run with -update to write it.
func golden(t *testing.T, r *session.Recorder) {
	t.Helper()
	goldie.New(t).Assert(t, t.Name(), r.Bytes())
}
