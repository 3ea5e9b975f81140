// Package sessions tests complete sessions of callers and operators against real
// processes while failures are injected. What a session records is compared with
// a golden file.
//
// The tests TestTruth... check that callers are told the truth about a failed request:
// a refusal states correctly whether the request ran, work that is not idempotent runs at
// most once for each key, and a stream has no gap or repeat and ends normally only when
// it is complete.
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

// binDir is the folder of the programs, which are built once for all tests.
var binDir string

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
	binDir = folder
	if err := deploy.Build(context.Background(), binDir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startTimeout limits the time in which a deployment starts.
const startTimeout = 60 * time.Second

// startDeployment starts a deployment that stops when the test ends. Without failure
// domains it has three, and without services it has the demo's table.
func startDeployment(t *testing.T, cfg deploy.Config) *deploy.Deployment {
	t.Helper()
	if cfg.FailureDomains == nil {
		cfg.FailureDomains = []string{"fd-a", "fd-b", "fd-c"}
	}
	if cfg.Table.Services == nil {
		cfg.Table = demo.Table(cfg.FailureDomains)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	d, err := deploy.Start(ctx, binDir, t.TempDir(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

// assertGolden compares a session with its golden file. Run the test with -update to
// write the file.
func assertGolden(t *testing.T, r *session.Recorder) {
	t.Helper()
	goldie.New(t).Assert(t, t.Name(), r.Bytes())
}
