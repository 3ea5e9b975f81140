package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// Routing is the name of a selection policy.
type Routing string

// Selection policies that are compared.
const (
	LeastLoad      Routing = "least-load"
	TwoChoices     Routing = "two-choices"
	PrefixAffinity Routing = "prefix-near"
)

// PrefixConfig returns the settings of a cluster at about 70% load whose prompts
// share prefixes. There are far more prefixes than one engine caches.
func PrefixConfig(seed uint64, routing Routing, slack float64) Config {
	cfg := SharesConfig(seed)
	cfg.Duration = 30 * time.Second
	cfg.MeasureFrom = 8 * time.Second
	cfg.Engine.StepTimePerPromptToken = 100 * time.Microsecond
	cfg.Engine.MaxCachedPrefixes = 24
	cfg.Warmup.HealthyStep = 80 * time.Millisecond
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		o.Outstanding = 0
		o.Rate = 24
		o.Deadline = 10 * time.Second
		o.OutputTokens = 40
		o.Prefixes, o.PrefixTokens = 100, 300
	}
	limits := cfg.Limits
	cfg.Policy = func(r *rand.Rand) selection.Policy {
		switch routing {
		case LeastLoad:
			return &selection.LeastLoad{Limits: limits, Rand: r}
		case PrefixAffinity:
			return &selection.PrefixAffinity{Limits: limits, Rand: r, Slack: slack}
		default:
			return &selection.TwoChoices{Limits: limits, Rand: r}
		}
	}
	return cfg
}
