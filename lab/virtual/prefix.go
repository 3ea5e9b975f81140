package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// Routing is a policy that is compared.
type Routing string

// Policies that are compared.
const (
	LeastLoad      Routing = "least-load"
	TwoChoices     Routing = "two-choices"
	PrefixAffinity Routing = "prefix-near"
)

// PrefixConfig is a fleet at about 70% load whose prompts share prefixes, far
// more of them than one engine's cache holds.
func PrefixConfig(seed uint64, routing Routing, slack float64) Config {
	cfg := SharesConfig(seed)
	cfg.Duration = 30 * time.Second
	cfg.MeasureFrom = 8 * time.Second
	cfg.Engine.PromptToken = 100 * time.Microsecond
	cfg.Engine.CacheBlocks = 24
	cfg.Warmup.HealthyStep = 80 * time.Millisecond
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		o.Outstanding = 0
		o.Rate = 24
		o.Deadline = 10 * time.Second
		o.Output = 40
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
