package accounting

// LabelLimiter bounds the number of organisations that have metrics of their own, so
// that the number of time series stays small. Organisations with priority
// always have their own; of the others, the first that send something have. The
// rest are counted together. It is not safe for concurrent use.
type LabelLimiter struct {
	limit int
	held  map[string]bool
}

// NewLabelLimiter returns labels of at most limit organisations without priority.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{limit: limit, held: make(map[string]bool)}
}

// Label returns the label of an organisation.
func (l *LabelLimiter) Label(organisation string, priority bool) string {
	switch {
	case organisation == "":
		return Unknown
	case priority || l.held[organisation]:
		return organisation
	case len(l.held) >= l.limit:
		return Other
	}
	l.held[organisation] = true
	return organisation
}
