package virtual

import "time"

// SharesConfig returns the settings of a cluster that is saturated by 6
// organisations with different weights, whose traffic is spread unevenly over
// the entries.
func SharesConfig(seed uint64) Config {
	cfg := Defaults(seed)
	entryShares := [][]float64{
		{1, 0, 0, 0},
		{0.1, 0.7, 0.1, 0.1},
		{0, 0, 1, 0},
		{0.05, 0.05, 0.05, 0.85},
		{0.7, 0.1, 0.1, 0.1},
		{0, 0.5, 0.5, 0},
	}
	for i, weight := range []int{1, 1, 2, 3, 4, 5} {
		cfg.Organisations = append(cfg.Organisations, Organisation{
			Name:         "org-" + string(rune('a'+i)),
			Weight:       weight,
			Outstanding:  200,
			EntryShares:  entryShares[i],
			PromptTokens: 30,
			OutputTokens: 20,
			Deadline:     time.Minute,
		})
	}
	return cfg
}
