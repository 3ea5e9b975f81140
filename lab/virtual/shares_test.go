package virtual

import (
	"testing"
	"time"
)

// TestSharesAcrossEntries saturates the cluster from all organisations, whose
// traffic is spread unevenly over the entries. The attained service must stay
// close to the weighted shares over 1 s and 10 s.
func TestSharesAcrossEntries(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		cfg := SharesConfig(seed)
		r := Run(cfg)
		long, longOrganisation := r.ShareError(10*time.Second, 10*time.Second)
		short, shortOrganisation := r.ShareError(time.Second, 10*time.Second)
		t.Logf("seed %d: 10 s %.1f%% (%s), 1 s %.1f%% (%s), goodput %.0f, %.0f B/s", seed, 100*long, longOrganisation, 100*short, shortOrganisation, r.Goodput, r.ShareBytes)
		if long > 0.05 {
			t.Errorf("seed %d: %s differs by %.1f%% over 10 s", seed, longOrganisation, 100*long)
		}
		if short > 0.15 {
			t.Errorf("seed %d: %s differs by %.1f%% over 1 s", seed, shortOrganisation, 100*short)
		}
	}
}

// TestShareErrorWithoutExchange checks that the limit of 5% detects entries that
// do not exchange attained service.
func TestShareErrorWithoutExchange(t *testing.T) {
	cfg := SharesConfig(1)
	cfg.NoShares = true
	if e, organisation := Run(cfg).ShareError(10*time.Second, 10*time.Second); e <= 0.05 {
		t.Errorf("without the exchange, %s differs by only %.1f%%: TestSharesAcrossEntries would not detect its absence", organisation, 100*e)
	}
}
