package intake

import "time"

// Least rate of a body.
const (
	// progressWindow is the time within which minWindowBytes of a body must arrive.
	progressWindow = 10 * time.Second
	minWindowBytes = 1 << 10
)

// Progress measures whether a body arrives at the least rate.
type Progress struct {
	since time.Time
	bytes int
}

// NewProgress returns the progress of a body that begins now.
func NewProgress(now time.Time) Progress { return Progress{since: now} }

// Deadline returns when the next bytes have to arrive at the latest.
func (*Progress) Deadline(now time.Time) time.Time { return now.Add(progressWindow) }

// Record records bytes that have arrived, and reports whether the rate is high enough.
func (p *Progress) Record(n int, now time.Time) bool {
	p.bytes += n
	if now.Sub(p.since) < progressWindow {
		return true
	}
	ok := p.bytes >= minWindowBytes
	p.since, p.bytes = now, 0
	return ok
}
