package virtual

import "time"

// Limiting is a way to limit the work of an upstream.
type Limiting string

// Ways that are compared.
const (
	// StepTimed grows and falls with the steps that the agent times.
	StepTimed Limiting = "sensed"
	// TimedRamp grows with time and falls on the engine's lagging report only.
	TimedRamp Limiting = "timed-ramp"
	// FixedLimit never changes.
	FixedLimit Limiting = "fixed"
)

// coldAt is when something happens to the first upstream.
const coldAt = 15 * time.Second

// ColdConfig is a fleet of few upstreams, busy but not saturated, of which the
// first turns cold, restarts or stops.
func ColdConfig(seed uint64, limit Limiting, kind EventKind) Config {
	cfg := SharesConfig(seed)
	cfg.Upstreams = 3
	cfg.Events = []Event{{At: coldAt, Kind: kind}}
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		o.Outstanding = 0
		o.Rate = 0.85 * capacityRequests / 4 / float64(len(cfg.Organisations))
		o.Deadline = 5 * time.Second
	}
	switch limit {
	case TimedRamp:
		cfg.NoStepTimes = true
		cfg.Warmup.HealthyStep = time.Hour
		cfg.Warmup.GrowEvery = 800 * time.Millisecond
	case FixedLimit:
		cfg.NoStepTimes = true
		cfg.Warmup.Min = cfg.Warmup.Max
	}
	return cfg
}
