package quarantine

import "time"

// sample describes the latest requests to a service.
type sample struct {
	// newParts are their parts that were new when they were sent, firstParts the times
	// from sending those that have begun to the first parts of their responses.
	newParts   ring[[]string]
	firstParts ring[time.Duration]
}

// ring holds the latest sampleSize values.
type ring[T any] struct {
	values []T
	next   int
}

func (r *ring[T]) add(v T) {
	if len(r.values) < sampleSize {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % sampleSize
}

// IsProven reports whether responses with all of the shared parts have begun well at this
// entry. A request without any is not proven.
func (q *Quarantine) IsProven(service string, parts []string, now time.Time) bool {
	return hasShared(parts) && len(q.newParts(service, parts, now)) == 0
}

// newParts returns the shared parts with which no response has begun well at this entry.
func (q *Quarantine) newParts(service string, parts []string, now time.Time) []string {
	var out []string
	for _, part := range parts {
		if isShared(part) && q.begun.find(partKey{service, part}, now) == nil {
			out = append(out, part)
		}
	}
	return out
}

// RecordSent records that a request is sent to an upstream.
func (q *Quarantine) RecordSent(service string, parts []string, now time.Time) {
	if !hasShared(parts) {
		// Requests that are sent only once are no sample.
		return
	}
	s := q.samples[service]
	if s == nil {
		s = &sample{}
		q.samples[service] = s
	}
	s.newParts.add(q.newParts(service, parts, now))
}

// coincidence estimates the probability that a request which has not begun has waited for at
// least a time, for a request at any moment before its beginning. It is small for a request
// that was due to begin.
func (q *Quarantine) coincidence(service string, waited time.Duration) float64 {
	s := q.samples[service]
	if s == nil {
		return 1
	}
	total, beyond := time.Duration(0), time.Duration(0)
	for _, firstPart := range s.firstParts.values {
		total += firstPart
		beyond += max(0, firstPart-waited)
	}
	if total == 0 {
		return 1
	}
	return max(minCoincidence, float64(beyond)/float64(total))
}

// minCoincidence is the smallest estimate of a coincidence by time: the times vary more
// than the sample shows.
const minCoincidence = 0.05

// observe returns what this entry has observed about a loss.
func (q *Quarantine) observe(loss *Loss) Observation {
	o := Observation{Unbegun: len(loss.Unbegun)}
	s := q.samples[loss.Upstream.Service]
	if s == nil {
		return o
	}
	// The requests that had not begun at the upstream are among the latest ones.
	own := make(map[string]int)
	for _, a := range loss.Unbegun {
		for _, part := range a.Parts {
			own[part]++
		}
	}
	for _, parts := range s.newParts.values {
		if len(parts) > 0 && own[parts[0]] > 0 {
			own[parts[0]]--
			continue
		}
		o.Sampled++
		if len(parts) > 0 {
			o.NewParts = union(o.NewParts, parts[:1])
		}
	}
	return o
}
