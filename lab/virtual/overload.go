package virtual

import "time"

// Capacity of the fleet of the overload runs, in requests a second.
const capacityRequests = 490

// OverloadConfig offers a multiple of the fleet's capacity, the same from each of
// six organisations of unlike weights. Requests carry a deadline of 5 s.
func OverloadConfig(seed uint64, times float64) Config {
	cfg := SharesConfig(seed)
	cfg.Duration = 30 * time.Second
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		o.Outstanding = 0
		o.Rate = times * capacityRequests / float64(len(cfg.Organisations))
		o.Deadline = 5 * time.Second
	}
	return cfg
}
