package sendlimit

import (
	"time"

	"github.com/pkg/errors"
)

// Report is what an entry tells another one about the limit of an upstream.
type Report struct {
	Key
	Service string `json:"service"`
	// Limited is false after the limit has ended.
	Limited bool `json:"limited"`
	// Rate is the limit in requests per second over all entries.
	Rate float64 `json:"rate"`
	// Entry is the entry that received the latest response that changed the limit.
	Entry string `json:"entry"`
	// SinceMillis, SentMillis and ReceivedMillis are ages: of the limit, and of the request
	// and the response from which it is known.
	SinceMillis    int64 `json:"since_ms_ago"`
	SentMillis     int64 `json:"sent_ms_ago"`
	ReceivedMillis int64 `json:"received_ms_ago"`
}

// Bounds of a report.
const (
	// MaxRate is the highest limit in requests per second. No upstream takes as many, so a
	// higher one is a mistake.
	MaxRate = 1_000_000
	// maxAge is the highest age: no process runs for longer.
	maxAge = 10 * 365 * 24 * time.Hour
)

// check returns an error if the report can't be true.
func (r *Report) check() error {
	ages := r.SinceMillis >= 0 && r.SinceMillis <= maxAge.Milliseconds() && r.ReceivedMillis >= 0 && r.ReceivedMillis <= r.SentMillis && r.SentMillis <= maxAge.Milliseconds()
	if r.Upstream == "" || !(r.Rate >= 0 && r.Rate <= MaxRate) || !ages {
		return errors.Errorf("report of a limit of upstream %q is invalid; look at the version of the entry that sent it", r.Upstream)
	}
	return nil
}

// Reports returns what is known of all limits, those that have just ended included.
func (t *Table) Reports(now time.Time) []Report {
	list := make([]Report, 0, len(t.records))
	age := func(at time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }
	for key, r := range t.records {
		list = append(list, Report{
			Key: key, Service: r.service, Limited: r.limited, Rate: r.rate, Entry: r.entry,
			SinceMillis: age(r.since), SentMillis: age(r.sentAt), ReceivedMillis: age(r.receivedAt),
		})
	}
	return list
}

// Merge applies the report of another entry. It reports whether the limit has changed.
func (t *Table) Merge(report *Report, now time.Time) (bool, error) {
	if err := report.check(); err != nil {
		return false, err
	}
	before := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	r, ok := t.records[report.Key]
	if !ok {
		if len(t.records) >= maxRecords {
			return false, nil
		}
		r = t.add(report.Key, report.Service, now)
	}
	sentAt, receivedAt := before(report.SentMillis), before(report.ReceivedMillis)
	if !r.isNewer(report.Limited, sentAt, receivedAt) {
		return false, nil
	}
	changed := r.apply(report.Limited, report.Rate, report.Entry, before(report.SinceMillis), sentAt, receivedAt)
	t.setBase(r)
	return changed, nil
}
