package accounting

// LabelLimiter limits the number of organisations with a metric label of their own, so
// that the number of time series stays small. Organisations with priority always have
// one. Of the others, the first to send a request get one, and the rest share the
// label Other. It is not safe for concurrent use.
type LabelLimiter struct {
	limit    int
	assigned map[string]bool
}

// NewLabelLimiter returns a limiter that assigns labels to at most limit organisations
// without priority.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{limit: limit, assigned: make(map[string]bool)}
}

// Label returns the metric label of an organisation, and assigns one if needed.
func (l *LabelLimiter) Label(organisation string, priority bool) string {
	switch {
	case organisation == "":
		return Unknown
	case priority || l.assigned[organisation]:
		return organisation
	case len(l.assigned) >= l.limit:
		return Other
	}
	l.assigned[organisation] = true
	return organisation
}
