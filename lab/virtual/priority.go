package virtual

import "time"

// PriorityMode is a way to serve priority work on a saturated fleet.
type PriorityMode string

// Ways that are compared.
const (
	// QueueOnly only lets priority work pass the queues.
	QueueOnly PriorityMode = "neither"
	// ReservedCapacity keeps slots free for priority work.
	ReservedCapacity PriorityMode = "reserved"
	// Preemption lets engines swap out other work.
	Preemption PriorityMode = "preemption"
	// AgentQueues sends all requests to the agents' lines at once.
	AgentQueues PriorityMode = "agent-queues"
)

// PriorityModes returns all ways.
func PriorityModes() []PriorityMode {
	return []PriorityMode{QueueOnly, ReservedCapacity, Preemption, AgentQueues}
}

// Priority organisation of the runs.
const (
	priorityName  = "counter"
	prioritySlots = 4
)

// PriorityConfig is a fleet on which a priority organisation arrives all at once
// after three weeks of silence. busy says whether other organisations saturate
// the fleet then; otherwise they stop before.
func PriorityConfig(seed uint64, way PriorityMode, busy bool) Config {
	cfg := Defaults(seed)
	cfg.Duration = 30 * time.Second
	cfg.IdleBefore = 3 * 7 * 24 * time.Hour
	cfg.Engine.PromptToken = 100 * time.Microsecond
	cfg.Warmup.HealthyStep = 80 * time.Millisecond
	cfg.Engine.Preempt = way == Preemption
	switch way {
	case ReservedCapacity:
		cfg.Reserved = prioritySlots
	case AgentQueues:
		cfg.Limits.MaxQueuedPerOrganisation = cfg.Scheduler.MaxWaiting
		cfg.Scheduler.QueueHorizon = time.Hour
		cfg.MaxQueued = 4096
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
