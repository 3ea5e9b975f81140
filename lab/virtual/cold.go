package virtual

import "time"

// Limiting is a way to limit the concurrency of an upstream.
type Limiting string

// Ways of limiting that are compared.
const (
	// StepTimed raises and lowers the limit by the step times that the agent
	// measures.
	StepTimed Limiting = "sensed"
	// TimedRamp raises the limit with time and lowers it only by the engine's own
	// report, which lags.
	TimedRamp Limiting = "timed-ramp"
	// FixedLimit never changes the limit.
	FixedLimit Limiting = "fixed"
)

// eventTime is the time of the event at the first upstream.
const eventTime = 15 * time.Second

// ColdConfig returns the settings of 3 upstreams, offered 85% of their capacity, of
// which the first turns cold, restarts or stops.
func ColdConfig(seed uint64, limit Limiting, kind EventKind) Config {
	cfg := SharesConfig(seed)
	cfg.Upstreams = 3
	cfg.Events = []Event{{At: eventTime, Kind: kind}}
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		o.Outstanding = 0
		o.Rate = 0.85 * capacityPerSecond / 4 / float64(len(cfg.Organisations))
		o.Deadline = 5 * time.Second
	}
	switch limit {
	case TimedRamp:
		cfg.NoStepTimes = true
		cfg.Warmup.HealthyStep = time.Hour
		cfg.Warmup.MinGrowInterval = 800 * time.Millisecond
	case FixedLimit:
		cfg.NoStepTimes = true
		cfg.Warmup.Min = cfg.Warmup.Max
	}
	return cfg
}
