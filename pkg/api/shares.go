package api

// ShareRow is the work of one organisation at an agent that came through entries
// other than the one that asks.
type ShareRow struct {
	Organisation string `json:"o"`
	Weight       int    `json:"w"`
	// Generation changes when the agent starts to count from 0 again.
	Generation uint64 `json:"g"`
	// Cost is the cumulative cost in tokens.
	Cost float64 `json:"c"`
}

// ShareReport is the part of an agent's report that tells attained service.
type ShareReport struct {
	// Sequence is what the entry names in its next question.
	Sequence uint64 `json:"sequence"`
	// More is true when further rows have changed.
	More bool       `json:"more,omitempty"`
	Rows []ShareRow `json:"rows,omitempty"`
}

// ShareRequest is the part of an entry's question that concerns shares.
type ShareRequest struct {
	// Entry is the name of the entry that asks.
	Entry string `json:"entry"`
	// Incarnation and Seen say which rows the entry has.
	Incarnation string `json:"incarnation,omitempty"`
	Seen        uint64 `json:"seen,omitempty"`
}
