package virtual

import (
	"testing"
	"time"
)

// TestSharesAcrossEntries saturates the fleet from all organisations, each with
// most of its traffic at another entry.
func TestSharesAcrossEntries(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		cfg := SharesConfig(seed)
		r := Run(cfg)
		long, who10 := r.ShareError(10*time.Second, 10*time.Second)
		short, who1 := r.ShareError(time.Second, 10*time.Second)
		t.Logf("seed %d: 10 s %.1f%% (%s), 1 s %.1f%% (%s), goodput %.0f, %.0f B/s", seed, 100*long, who10, 100*short, who1, r.Goodput, r.ShareBytes)
		if long > 0.05 {
			t.Errorf("seed %d: %s differs by %.1f%% over 10 s", seed, who10, 100*long)
		}
		if short > 0.15 {
			t.Errorf("seed %d: %s differs by %.1f%% over 1 s", seed, who1, 100*short)
		}
	}
}

// TestSharesNeedTheExchange shows that the bound catches entries that don't know
// of each other's work.
func TestSharesNeedTheExchange(t *testing.T) {
	cfg := SharesConfig(1)
	cfg.NoShares = true
	if e, who := Run(cfg).ShareError(10*time.Second, 10*time.Second); e <= 0.05 {
		t.Errorf("without the exchange %s differs by only %.1f%%; the test proves nothing", who, 100*e)
	}
}
