package table

import "time"

// Engine is what the platform says of the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int `json:"slots"`
	// MemoryTokens is how many tokens an engine can keep.
	MemoryTokens int `json:"memory_tokens"`
	// StepsPerPass is how many token steps one pass of the group makes.
	StepsPerPass int `json:"stride"`
	// StepTime is the time of a token step without any request.
	StepTime time.Duration `json:"step"`
	// StepTimePerRequest is what each running request adds to a step.
	StepTimePerRequest time.Duration `json:"per_request"`
	// StepTimePerThousandTokens is what each thousand tokens of context add to a step.
	StepTimePerThousandTokens time.Duration `json:"per_thousand"`
	// PrefillTokensPerSecond is how many tokens of prompts an engine reads.
	PrefillTokensPerSecond float64 `json:"read_per_second"`
	// StepTimePerMillionPairs is what a million pairs of prompt tokens add.
	StepTimePerMillionPairs time.Duration `json:"per_million_pairs"`
	// MaxPrefillChunk is the most prompt tokens that are read in one step.
	MaxPrefillChunk int `json:"chunk"`
	// UsualPrompt and UsualAnswer are mean lengths in tokens.
	UsualPrompt int `json:"usual_prompt"`
	UsualAnswer int `json:"usual_answer"`
	// Experts is set when the engines are ranks of a group with experts.
	Experts *Experts `json:"experts,omitempty"`
}

// Experts is the shape of a model whose experts are spread over a group.
type Experts struct {
	// Layers is the number of sets of layers, Count the experts in each.
	Layers int `json:"layers"`
	Count  int `json:"count"`
	// Slots is how many experts of a layer a rank can hold.
	Slots int `json:"slots"`
	// MaxNew is how many experts of a layer one change may bring to a rank.
	MaxNew int `json:"spare"`
	// Bytes is the size of one expert of one layer.
	Bytes float64 `json:"bytes"`
	// LoadBytesPerSecond is how fast a rank copies experts.
	LoadBytesPerSecond float64 `json:"load_bytes_per_second"`
	// WorkShare is the part of the work for tokens that the experts do.
	WorkShare float64 `json:"share"`
	// FormationTime is how long a group takes to open once all its ranks are there.
	FormationTime time.Duration `json:"form"`
}

// Limits bound what callers may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are sizes in bytes, 0 for no bound.
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxBodyBytes   int `json:"max_body_bytes"`
	// HeaderTimeout is how long a head may take to arrive, IdleTimeout how long a
	// connection may rest.
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}
