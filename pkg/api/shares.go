package api

// ShareRow counts the work of one organisation at an agent that was sent by other entries
// than the requesting one.
type ShareRow struct {
	Organisation string `json:"o"`
	Weight       int    `json:"w"`
	// Generation changes when the agent's count restarts from 0.
	Generation uint64 `json:"g"`
	// Cost is the cumulative cost in tokens.
	Cost float64 `json:"c"`
}

// ShareReport is the part of an agent's report that counts the work it admitted for each
// organisation. It contains the rows that changed after the ShareRequest's Cursor.
type ShareReport struct {
	// Sequence is the value of Cursor for the entry's next ShareRequest.
	Sequence uint64 `json:"sequence"`
	// More is true if more changed rows are left for the next report.
	More bool       `json:"more,omitempty"`
	Rows []ShareRow `json:"rows,omitempty"`
}

// ShareRequest is the part of an entry's ReportRequest about shares.
type ShareRequest struct {
	// Entry is the name of the requesting entry.
	Entry string `json:"entry"`
	// Incarnation and Cursor identify the rows that the entry has received: those up to
	// the sequence Cursor of an incarnation of the agent.
	Incarnation string `json:"incarnation,omitempty"`
	Cursor      uint64 `json:"seen,omitempty"`
}
