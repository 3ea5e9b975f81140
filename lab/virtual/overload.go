package virtual

import "time"

// capacityPerSecond is the capacity of the 12 upstreams of Defaults for the requests
// of SharesConfig, in requests a second.
const capacityPerSecond = 490

// OverloadConfig returns the settings of a run that is offered a multiple of the
// cluster's capacity. Each of 6 organisations with different weights sends the
// same rate, with a deadline of 5 s for each request.
func OverloadConfig(seed uint64, factor float64) Config {
	cfg := SharesConfig(seed)
	cfg.Duration = 30 * time.Second
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		o.Outstanding = 0
		o.Rate = factor * capacityPerSecond / float64(len(cfg.Organisations))
		o.Deadline = 5 * time.Second
	}
	return cfg
}
