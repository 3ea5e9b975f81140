package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// shortRun is the run of CI.
var shortRun = Config{Size: DeploymentSize{Entries: 2, Ranks: 3, PlainUpstreams: 2}, FaultTime: 6 * time.Second}

// regressions are seeds that once violated an invariant, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// runSeed runs a seed and fails the test for each violation.
func runSeed(t *testing.T, bin string, seed uint64) *Result {
	t.Helper()
	cfg := shortRun
	cfg.Bin, cfg.Dir, cfg.Seed = bin, filepath.Join(t.TempDir(), fmt.Sprint(seed)), seed
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		t.Fatal(err)
	}
	result, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range result.Violations {
		t.Errorf("seed %d: %s", seed, text)
	}
	t.Logf("seed %d: %v, %d passes, %d epochs", seed, result.Counts, result.Passes, result.Epochs)
	return result
}

// TestShortSoak runs one seed and the seeds of earlier failures.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	if err := deploy.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	if result := runSeed(t, bin, 11); result.Counts["served"] == 0 || result.Passes == 0 {
		t.Errorf("no request was served or no pass was run: %+v", result)
	}
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { runSeed(t, bin, r.seed) })
	}
}
