package virtual

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// bucketWidth is the resolution at which attained service is recorded.
const bucketWidth = 100 * time.Millisecond

// Result holds the results of a run.
type Result struct {
	// Organisations holds the results of each organisation by name.
	Organisations map[string]*OrganisationResult `json:"organisations"`
	// Refusals counts the refusals of agents by reason.
	Refusals map[string]int `json:"agent_refusals"`
	// Crashes counts crashes and restarts of engines, Aborted the requests in
	// engines that crashed or were stopped, and SwappedOut the requests that were
	// swapped out for priority requests.
	Crashes    int `json:"fallen"`
	Aborted    int `json:"lost"`
	SwappedOut int `json:"swapped"`
	// Excess counts requests that cold engines received beyond their ColdSlots.
	Excess int `json:"excess"`
	// Goodput is the rate of tokens a second of responses that were complete by
	// their deadline.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// ShareBytes is the number of bytes a second by which an entry and an agent
	// exchange attained service, in both directions together.
	ShareBytes float64 `json:"share_bytes_per_second_and_pair"`

	// MaxLoad is the number of requests of the busiest upstream, divided by the
	// mean over all upstreams.
	MaxLoad float64 `json:"max_load"`
	// RecoveryTime is the time from the first event until its upstream stayed warm
	// with at least half of its maximum limit.
	RecoveryTime time.Duration `json:"recovered_ns"`

	start      time.Time
	cfg        Config
	shareBytes int
	goodTokens float64
}

// OrganisationResult holds the results of one organisation.
type OrganisationResult struct {
	// Offered is the number of requests, Completed that of responses that were
	// complete by the deadline. Late counts requests that ended after it without a
	// refusal, complete or not.
	Offered   int `json:"offered"`
	Completed int `json:"completed"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	// Expired counts the refused requests that had waited in the queue.
	Expired int `json:"expired"`
	// Cached counts first tokens of requests whose prefix was cached.
	Cached int `json:"cached"`
	// Tokens is the attained service in tokens.
	Tokens float64 `json:"tokens"`
	// FirstTokenP50 and FirstTokenP99 are percentiles of the time to the first
	// token.
	FirstTokenP50 time.Duration `json:"first_token_p50_ns"`
	FirstTokenP99 time.Duration `json:"first_token_p99_ns"`
	// MaxRefusalWait is the longest wait before a refusal.
	MaxRefusalWait time.Duration `json:"refused_after_ns"`

	buckets         []float64
	firstTokenTimes []time.Duration
}

func newResult(cfg Config) *Result {
	r := &Result{cfg: cfg, Organisations: make(map[string]*OrganisationResult), Refusals: make(map[string]int)}
	for _, o := range cfg.Organisations {
		r.Organisations[o.Name] = &OrganisationResult{buckets: make([]float64, cfg.Duration/bucketWidth+1)}
	}
	return r
}

func (r *Result) organisation(o *Organisation) *OrganisationResult { return r.Organisations[o.Name] }

func (r *Result) recordTokens(o *Organisation, tokens int, now time.Time) {
	m := r.organisation(o)
	m.Tokens += float64(tokens)
	m.buckets[now.Sub(r.start)/bucketWidth] += float64(tokens)
}

func (r *Result) recordFirstToken(q *request, now time.Time) {
	if now.Sub(r.start) < r.cfg.MeasureFrom {
		return
	}
	m := r.organisation(q.organisation)
	m.firstTokenTimes = append(m.firstTokenTimes, now.Sub(q.arrivedAt))
	if q.prefixCached {
		m.Cached++
	}
}

func (r *Result) recordCompletion(q *request, now time.Time) {
	if now.After(q.deadline) {
		r.recordLate(q)
		return
	}
	r.organisation(q.organisation).Completed++
	r.goodTokens += q.actualCost()
}

func (r *Result) recordLate(q *request) { r.organisation(q.organisation).Late++ }

func (r *Result) recordRefusal(q *request, _ *problem.Problem, now time.Time) {
	m := r.organisation(q.organisation)
	m.Refused++
	if now.After(q.arrivedAt) {
		m.Expired++
	}
	m.MaxRefusalWait = max(m.MaxRefusalWait, now.Sub(q.arrivedAt))
}

// recordShareExchange counts the bytes of attained service in one report request
// and its response.
func (r *Result) recordShareExchange(q *api.ReportRequest, a *api.Report) {
	if q.Shares == nil {
		return
	}
	request, _ := json.Marshal(q.Shares)
	response, _ := json.Marshal(a.Shares)
	r.shareBytes += len(request) + len(response)
}

func (r *Result) finish(upstreams []*upstream) {
	for _, m := range r.Organisations {
		slices.Sort(m.firstTokenTimes)
		m.FirstTokenP50 = percentile(m.firstTokenTimes, 0.50)
		m.FirstTokenP99 = percentile(m.firstTokenTimes, 0.99)
	}
	busiest, total := 0, 0
	for _, u := range upstreams {
		busiest = max(busiest, u.engine.received)
		total += u.engine.received
		r.Crashes += u.engine.crashes
		r.Aborted += u.engine.aborted
		r.SwappedOut += u.engine.swappedOut
		r.Excess += u.engine.excess
	}
	r.MaxLoad = float64(busiest*len(upstreams)) / float64(max(1, total))
	seconds := r.cfg.Duration.Seconds()
	r.Goodput = r.goodTokens / seconds
	r.ShareBytes = float64(r.shareBytes) / seconds / float64(r.cfg.Entries*r.cfg.Upstreams)
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// ShareError returns the largest relative difference between the attained service
// of an organisation and its weighted share, over all windows that start at from
// or later, and the name of that organisation.
func (r *Result) ShareError(window, from time.Duration) (float64, string) {
	worst, name := 0.0, ""
	weights := 0.0
	for _, o := range r.cfg.Organisations {
		weights += float64(o.Weight)
	}
	n := int(window / bucketWidth)
	for start := int(from / bucketWidth); start+n <= int(r.cfg.Duration/bucketWidth); start += n {
		total := 0.0
		for _, m := range r.Organisations {
			total += sum(m.buckets[start : start+n])
		}
		for _, o := range r.cfg.Organisations {
			share := total * float64(o.Weight) / weights
			e := math.Abs(sum(r.organisation(&o).buckets[start:start+n])/share - 1)
			if e > worst {
				worst, name = e, o.Name
			}
		}
	}
	return worst, name
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
