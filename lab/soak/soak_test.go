package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// short is a run that CI plays.
var short = Config{Shape: DeploymentSize{Entries: 2, Ranks: 3, PlainUpstreams: 2}, FaultTime: 6 * time.Second}

// regressions are seeds that broke a promise before, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// play plays a seed and reports what it broke.
func play(t *testing.T, bin string, seed uint64) *Result {
	t.Helper()
	cfg := short
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

// TestShortSoak plays one seed and those that once failed.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	if err := deploy.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	if result := play(t, bin, 11); result.Counts["served"] == 0 || result.Passes == 0 {
		t.Errorf("nothing was served: %+v", result)
	}
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { play(t, bin, r.seed) })
	}
}
