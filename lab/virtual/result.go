package virtual

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// bucket is the resolution of attained service.
const bucket = 100 * time.Millisecond

// Result is what a run measured.
type Result struct {
	// Organisations is by name.
	Organisations map[string]*OrganisationResult `json:"organisations"`
	// Refusals counts agents' refusals by reason.
	Refusals map[string]int `json:"agent_refusals"`
	// Crashes counts engines that fell over, Lost the attempts that it cost, and
	// Swapped the requests that were swapped out.
	Crashes int `json:"fallen"`
	Lost    int `json:"lost"`
	Swapped int `json:"swapped"`
	// Excess counts requests that cold engines got beyond what they bear.
	Excess int `json:"excess"`
	// Goodput is the tokens a second of answers that ended in time.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// ShareBytes is the bytes of attained service an entry and an agent exchange
	// in a second, in both directions.
	ShareBytes float64 `json:"share_bytes_per_second_and_pair"`

	// MaxLoad is how many times the mean number of requests the busiest upstream
	// got.
	MaxLoad float64 `json:"max_load"`
	// RecoveryTime is how long after the first event its upstream was warm again
	// with at least half of its room.
	RecoveryTime time.Duration `json:"recovered_ns"`

	start time.Time
	cfg   Config
	bytes int
	good  float64
}

// OrganisationResult is what a run measured of one organisation.
type OrganisationResult struct {
	Offered   int `json:"offered"`
	Completed int `json:"completed"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	// Expired is how many of those were refused only after a wait.
	Expired int `json:"expired"`
	// Cached counts first tokens whose prefix was cached.
	Cached int `json:"cached"`
	// Tokens is the attained service.
	Tokens float64 `json:"tokens"`
	// FirstToken50 and FirstToken99 are percentiles of the first-token time.
	FirstToken50 time.Duration `json:"first_token_p50_ns"`
	FirstToken99 time.Duration `json:"first_token_p99_ns"`
	// RefusedAfter is the longest wait before a refusal.
	RefusedAfter time.Duration `json:"refused_after_ns"`

	buckets []float64
	firsts  []time.Duration
}

func newResult(cfg Config) *Result {
	r := &Result{cfg: cfg, Organisations: make(map[string]*OrganisationResult), Refusals: make(map[string]int)}
	for _, o := range cfg.Organisations {
		r.Organisations[o.Name] = &OrganisationResult{buckets: make([]float64, cfg.Duration/bucket+1)}
	}
	return r
}

func (r *Result) of(o *Organisation) *OrganisationResult { return r.Organisations[o.Name] }

func (r *Result) serve(o *Organisation, tokens int, now time.Time) {
	m := r.of(o)
	m.Tokens += float64(tokens)
	m.buckets[now.Sub(r.start)/bucket] += float64(tokens)
}

func (r *Result) first(q *request, now time.Time) {
	if now.Sub(r.start) < r.cfg.MeasureFrom {
		return
	}
	m := r.of(q.organisation)
	m.firsts = append(m.firsts, now.Sub(q.arrived))
	if q.cached {
		m.Cached++
	}
}

func (r *Result) complete(q *request, now time.Time) {
	if now.After(q.deadline) {
		r.late(q)
		return
	}
	r.of(q.organisation).Completed++
	r.good += q.cost()
}

func (r *Result) late(q *request) { r.of(q.organisation).Late++ }

func (r *Result) refuse(q *request, _ *problem.Problem, now time.Time) {
	m := r.of(q.organisation)
	m.Refused++
	if now.After(q.arrived) {
		m.Expired++
	}
	m.RefusedAfter = max(m.RefusedAfter, now.Sub(q.arrived))
}

// exchanged counts the bytes of attained service in one exchange.
func (r *Result) exchanged(q *api.ReportRequest, a *api.Report) {
	if q.Shares == nil {
		return
	}
	asked, _ := json.Marshal(q.Shares)
	told, _ := json.Marshal(a.Shares)
	r.bytes += len(asked) + len(told)
}

func (r *Result) finish(upstreams []*upstream) {
	for _, m := range r.Organisations {
		slices.Sort(m.firsts)
		m.FirstToken50 = percentile(m.firsts, 0.50)
		m.FirstToken99 = percentile(m.firsts, 0.99)
	}
	most, total := 0, 0
	for _, u := range upstreams {
		most = max(most, u.engine.got)
		total += u.engine.got
		r.Crashes += u.engine.fallen
		r.Lost += u.engine.lost
		r.Swapped += u.engine.swapped
		r.Excess += u.engine.excess
	}
	r.MaxLoad = float64(most*len(upstreams)) / float64(max(1, total))
	seconds := r.cfg.Duration.Seconds()
	r.Goodput = r.good / seconds
	r.ShareBytes = float64(r.bytes) / seconds / float64(r.cfg.Entries*r.cfg.Upstreams)
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// ShareError returns the largest relative difference between an organisation's
// attained service and its weighted share, over all windows after the first
// part of the run.
func (r *Result) ShareError(window, from time.Duration) (float64, string) {
	worst, name := 0.0, ""
	weights := 0.0
	for _, o := range r.cfg.Organisations {
		weights += float64(o.Weight)
	}
	n := int(window / bucket)
	for start := int(from / bucket); start+n <= int(r.cfg.Duration/bucket); start += n {
		total := 0.0
		for _, m := range r.Organisations {
			total += sum(m.buckets[start : start+n])
		}
		for _, o := range r.cfg.Organisations {
			share := total * float64(o.Weight) / weights
			e := math.Abs(sum(r.of(&o).buckets[start:start+n])/share - 1)
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
