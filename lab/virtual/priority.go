package virtual

import "time"

// Way is a way to serve priority work on a saturated fleet.
type Way string

// Ways that are compared.
const (
	// Neither only lets priority work pass the queues.
	Neither Way = "neither"
	// ReservedRoom keeps slots free for priority work.
	ReservedRoom Way = "reserved"
	// Preemption lets engines swap out other work.
	Preemption Way = "preemption"
	// AgentQueues sends all requests to the agents' lines at once.
	AgentQueues Way = "agent-queues"
)

// Ways returns all ways.
func Ways() []Way { return []Way{Neither, ReservedRoom, Preemption, AgentQueues} }

// Priority organisation of the runs.
const (
	priorityName  = "counter"
	prioritySlots = 4
)

// PriorityConfig is a fleet on which a priority organisation arrives all at once
// after three weeks of silence. busy says whether other organisations saturate
// the fleet then; otherwise they stop before.
func PriorityConfig(seed uint64, way Way, busy bool) Config {
	cfg := Defaults(seed)
	cfg.Duration = 30 * time.Second
	cfg.Silence = 3 * 7 * 24 * time.Hour
	cfg.Engine.PromptToken = 100 * time.Microsecond
	cfg.Warmup.HealthyStep = 80 * time.Millisecond
	cfg.Engine.Preempt = way == Preemption
	switch way {
	case ReservedRoom:
		cfg.Reserved = prioritySlots
	case AgentQueues:
		cfg.Limits.LinePerOrganisation = cfg.Scheduler.MaxWaiting
		cfg.Scheduler.Horizon = time.Hour
		cfg.Line = 4096
	case Preemption:
		// The gate lets priority work in beyond what other work may use, and the
		// engine makes room for it.
		cfg.Warmup.Max += prioritySlots
		cfg.Reserved = prioritySlots
	}
	cfg.Organisations = append(cfg.Organisations, Organisation{
		Name: priorityName, Weight: 1, Priority: true, Outstanding: 24, Start: 15 * time.Second,
		Prompt: 400, Output: 20, Deadline: 10 * time.Second,
	})
	for _, o := range SharesConfig(seed).Organisations {
		o.Start = 2 * time.Second
		o.Prompt, o.Output = 100, 60
		if !busy {
			o.Stop = 4 * time.Second
		}
		cfg.Organisations = append(cfg.Organisations, o)
	}
	return cfg
}
