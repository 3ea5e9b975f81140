package table

import "time"

// Engine describes the model engines of a service, as the platform configures them.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int `json:"slots"`
	// MemoryTokens is the number of tokens that fit into an engine's KV cache.
	MemoryTokens int `json:"memory_tokens"`
	// StepsPerPass is the number of token steps in one forward pass of the group.
	StepsPerPass int `json:"stride"`
	// StepTime is the duration of a token step without requests.
	StepTime time.Duration `json:"step"`
	// StepTimePerRequest is added to a step for each running request.
	StepTimePerRequest time.Duration `json:"per_request"`
	// StepTimePerThousandTokens is added to a step for each thousand tokens of context.
	StepTimePerThousandTokens time.Duration `json:"per_thousand"`
	// PrefillTokensPerSecond is the rate at which an engine processes prompts.
	PrefillTokensPerSecond float64 `json:"read_per_second"`
	// StepTimePerMillionPairs is added to a step for each million pairs of prompt
	// tokens.
	StepTimePerMillionPairs time.Duration `json:"per_million_pairs"`
	// MaxPrefillChunk is the largest number of prompt tokens processed in one step.
	MaxPrefillChunk int `json:"chunk"`
	// TypicalPromptTokens and TypicalResponseTokens are the mean lengths of prompts and
	// responses, in tokens.
	TypicalPromptTokens   int `json:"usual_prompt"`
	TypicalResponseTokens int `json:"usual_answer"`
	// Experts is set when the engines are ranks of an expert-parallel group.
	Experts *Experts `json:"experts,omitempty"`
}

// Experts describes the experts of a model that are distributed over a group.
type Experts struct {
	// Layers is the number of sets of layers that have experts of their own, Count
	// the number of experts in each. This system treats each set as one layer.
	Layers int `json:"layers"`
	Count  int `json:"count"`
	// Slots is the number of experts of a layer that a rank can hold.
	Slots int `json:"slots"`
	// MaxNew is the largest number of experts of a layer that one map switch may add
	// to a rank.
	MaxNew int `json:"spare"`
	// Bytes is the size of one expert of one layer.
	Bytes float64 `json:"bytes"`
	// LoadBytesPerSecond is the rate at which a rank copies experts.
	LoadBytesPerSecond float64 `json:"load_bytes_per_second"`
	// WorkShare is the experts' share of the work for a token.
	WorkShare float64 `json:"share"`
	// FormationTime is the time from the arrival of a group's last rank until the
	// group is open.
	FormationTime time.Duration `json:"form"`
}

// Limits restricts the requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest sizes of a request's header and
	// body, 0 for no limit.
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxBodyBytes   int `json:"max_body_bytes"`
	// HeaderTimeout is the time limit for the arrival of a request's header,
	// IdleTimeout the time for which a connection may be idle.
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}
