package api

// Report is what an agent tells entries about its upstream.
type Report struct {
	// Upstream is the name of the agent's upstream.
	Upstream string `json:"upstream"`
	// FailureDomain is the failure domain of the agent's host.
	FailureDomain string `json:"failure_domain"`
	// Service is the service that the upstream serves.
	Service string `json:"service"`
	// Incarnation is fresh at each start of the agent.
	Incarnation string `json:"incarnation"`
	// Sequence grows with each report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Limit is how many requests the upstream may run at once now.
	Limit int `json:"limit"`
	// Reserved is how much of the limit only priority work may use.
	Reserved int `json:"reserved,omitempty"`
	// Running is how many requests the upstream runs now.
	Running int `json:"running"`
	// Queued is how many admitted requests wait for room.
	Queued int `json:"line,omitempty"`
	// Draining is true once the upstream has started to leave.
	Draining bool `json:"leaving"`
	// Ready is false while the upstream can't take work.
	Ready bool `json:"ready"`
	// Virtual is the largest virtual time of an attempt that started.
	Virtual float64 `json:"virtual,omitempty"`
	// MarksVersion is the version of the marks that the agent has in force.
	MarksVersion uint64 `json:"marks_version"`
	// Provisional lists the marks in force that are not yet in the table.
	Provisional []ProvisionalMark `json:"provisional,omitempty"`
	// StepMillis is the upstream's recent step time in milliseconds.
	StepMillis float64 `json:"step_millis,omitempty"`
	// Skew is the recent ratio of the slowest rank's step time to the mean.
	Skew float64 `json:"skew,omitempty"`
	// Shares is set on answers to questions that ask for it.
	Shares *ShareReport `json:"shares,omitempty"`
}

// Marks is the part of the table that agents hold: the failure domains and
// upstreams that are out of service.
type Marks struct {
	// Version is the version of the table that the marks are from.
	Version           uint64   `json:"version"`
	OutFailureDomains []string `json:"out_failure_domains"`
	OutUpstreams      []string `json:"out_upstreams"`
	// Settled lists the provisional marks that were written into the table at
	// this version or an earlier one. They are no longer in force by themselves.
	Settled []string `json:"settled,omitempty"`
	// Provisional lists the marks that are in force but not yet in the table.
	Provisional []ProvisionalMark `json:"provisional,omitempty"`
}

// ProvisionalMark takes a failure domain or an upstream out of service before
// the change is written into the table.
type ProvisionalMark struct {
	// ID is fresh for each mark.
	ID string `json:"id"`
	// FailureDomain or Upstream is set, not both.
	FailureDomain string `json:"failure_domain,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	// Entry is the entry that took the operator's order.
	Entry string `json:"entry"`
}

// ReportRequest asks an agent for a report and brings it newer marks.
type ReportRequest struct {
	Marks  *Marks        `json:"marks,omitempty"`
	Shares *ShareRequest `json:"shares,omitempty"`
}
