package accounting

// Labels bounds the number of organisations that have metrics of their own, so
// that the number of time series stays small. Organisations with priority
// always have their own; of the others, the first that send something have. The
// rest are counted together. It is not safe for concurrent use.
type Labels struct {
	limit int
	held  map[string]bool
}

// NewLabels returns labels of at most limit organisations without priority.
func NewLabels(limit int) *Labels {
	return &Labels{limit: limit, held: make(map[string]bool)}
}

// Of returns the label of an organisation.
func (l *Labels) Of(organisation string, priority bool) string {
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
