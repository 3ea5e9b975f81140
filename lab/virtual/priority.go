package virtual

import "time"

// PriorityMode is a way to serve priority requests in a saturated cluster.
type PriorityMode string

// Priority modes that are compared.
const (
	// QueueOnly prefers priority requests in the queues and nowhere else.
	QueueOnly PriorityMode = "neither"
	// ReservedCapacity reserves slots for priority requests.
	ReservedCapacity PriorityMode = "reserved"
	// Preemption lets engines swap out other requests.
	Preemption PriorityMode = "preemption"
	// AgentQueues sends all requests to the agent queues at once.
	AgentQueues PriorityMode = "agent-queues"
)

// PriorityModes returns all priority modes.
func PriorityModes() []PriorityMode {
	return []PriorityMode{QueueOnly, ReservedCapacity, Preemption, AgentQueues}
}

// The priority organisation and the slots reserved for it at each upstream.
const (
	priorityOrganisation = "counter"
	prioritySlots        = 4
)

// PriorityConfig returns the settings of a run in which a priority organisation
// sends a burst of requests after 3 weeks without any. If busy is set, other
// organisations saturate the cluster at that time; otherwise they have stopped.
func PriorityConfig(seed uint64, mode PriorityMode, busy bool) Config {
	cfg := Defaults(seed)
	cfg.Duration = 30 * time.Second
	cfg.IdleBefore = 3 * 7 * 24 * time.Hour
	cfg.Engine.StepTimePerPromptToken = 100 * time.Microsecond
	cfg.Warmup.HealthyStep = 80 * time.Millisecond
	cfg.Engine.Preempt = mode == Preemption
	switch mode {
	case ReservedCapacity:
		cfg.Reserved = prioritySlots
	case AgentQueues:
		cfg.Limits.MaxQueuedPerOrganisation = cfg.Scheduler.MaxWaiting
		cfg.Scheduler.QueueHorizon = time.Hour
		cfg.MaxQueued = 4096
	case Preemption:
		// The gate admits priority requests beyond the limit for other requests,
		// and the engine swaps out other requests for them.
		cfg.Warmup.Max += prioritySlots
		cfg.Reserved = prioritySlots
	}
	cfg.Organisations = append(cfg.Organisations, Organisation{
		Name: priorityOrganisation, Weight: 1, Priority: true, Outstanding: 24, Start: 15 * time.Second,
		PromptTokens: 400, OutputTokens: 20, Deadline: 10 * time.Second,
	})
	for _, o := range SharesConfig(seed).Organisations {
		o.Start = 2 * time.Second
		o.PromptTokens, o.OutputTokens = 100, 60
		if !busy {
			o.Stop = 4 * time.Second
		}
		cfg.Organisations = append(cfg.Organisations, o)
	}
	return cfg
}
