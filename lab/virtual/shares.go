package virtual

import "time"

// SharesConfig is a fleet saturated by organisations of unlike weights, each
// with most of its traffic at one entry.
func SharesConfig(seed uint64) Config {
	cfg := Defaults(seed)
	uneven := [][]float64{
		{1, 0, 0, 0},
		{0.1, 0.7, 0.1, 0.1},
		{0, 0, 1, 0},
		{0.05, 0.05, 0.05, 0.85},
		{0.7, 0.1, 0.1, 0.1},
		{0, 0.5, 0.5, 0},
	}
	for i, weight := range []int{1, 1, 2, 3, 4, 5} {
		cfg.Organisations = append(cfg.Organisations, Organisation{
			Name:        "org-" + string(rune('a'+i)),
			Weight:      weight,
			Outstanding: 200,
			Entries:     uneven[i],
			Prompt:      30,
			Output:      20,
			Deadline:    time.Minute,
		})
	}
	return cfg
}
