package api

// Report is an agent's report about its upstream.
type Report struct {
	// Upstream is the name of the agent's upstream.
	Upstream string `json:"upstream"`
	// FailureDomain is the failure domain of the agent's host.
	FailureDomain string `json:"failure_domain"`
	// Service is the service that the upstream serves.
	Service string `json:"service"`
	// Incarnation is new at each start of the agent.
	Incarnation string `json:"incarnation"`
	// UpstreamIncarnation is new at each start of the upstream, empty until the upstream has
	// reported it.
	UpstreamIncarnation string `json:"upstream_incarnation,omitempty"`
	// Sequence increases with each report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Limit is the number of requests that the upstream may currently run at once.
	Limit int `json:"limit"`
	// Reserved is the part of Limit that only priority organisations may use.
	Reserved int `json:"reserved,omitempty"`
	// Running is the number of requests that the upstream is running.
	Running int `json:"running"`
	// Queued is the number of admitted requests that wait for capacity.
	Queued int `json:"line,omitempty"`
	// Draining is true once the upstream has started to drain.
	Draining bool `json:"leaving"`
	// Ready is false while the upstream can't accept work.
	Ready bool `json:"ready"`
	// VirtualTime is the largest AttemptRequest.VirtualTime of an attempt without
	// priority that has started.
	VirtualTime float64 `json:"virtual,omitempty"`
	// MarksVersion is the version of the table that the agent's marks are from.
	MarksVersion uint64 `json:"marks_version"`
	// Provisional lists the marks that apply but are not yet in the table.
	Provisional []ProvisionalMark `json:"provisional,omitempty"`
	// StepMillis is the upstream's recent step time in milliseconds.
	StepMillis float64 `json:"step_millis,omitempty"`
	// Skew is the recent ratio of the slowest rank's step time to the mean.
	Skew float64 `json:"skew,omitempty"`
	// Shares is set if the ReportRequest has Shares.
	Shares *ShareReport `json:"shares,omitempty"`
}

// Marks is the part of the table that agents need: the failure domains and upstreams that
// are out of service.
type Marks struct {
	// Version is the version of the table that the marks are from.
	Version           uint64   `json:"version"`
	OutFailureDomains []string `json:"out_failure_domains"`
	OutUpstreams      []string `json:"out_upstreams"`
	// Settled lists the provisional marks that were written into the table at this
	// version or an earlier one. From then on only the table decides.
	Settled []string `json:"settled,omitempty"`
	// Provisional lists the marks that apply but are not yet in the table.
	Provisional []ProvisionalMark `json:"provisional,omitempty"`
}

// ProvisionalMark takes a failure domain or an upstream out of service before
// the change is written into the table.
type ProvisionalMark struct {
	// ID is unique for each mark.
	ID string `json:"id"`
	// Either FailureDomain or Upstream is set.
	FailureDomain string `json:"failure_domain,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	// Entry is the entry that received the operator's request.
	Entry string `json:"entry"`
}

// ReportRequest requests a report from an agent. Marks is set if the entry has newer marks
// than the agent's latest report, Shares if the entry also requests a ShareReport.
type ReportRequest struct {
	Marks  *Marks        `json:"marks,omitempty"`
	Shares *ShareRequest `json:"shares,omitempty"`
}
