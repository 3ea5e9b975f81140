package agent

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
)

// run is one admitted request and the frames of its answer. Frames are kept so
// that a reader can come back on a new connection and read on.
type run struct {
	id         string
	attempt    int
	idempotent bool
	cancel     context.CancelFunc

	mu      sync.Mutex
	frames  []api.Frame
	sum     *stream.Checksum
	ended   bool
	changed chan struct{}
	// queued is true when the request was admitted to the line, and turn takes
	// what becomes of it.
	queued  bool
	turn    chan turn
	readers int
	idleAt  time.Time
}

func newRun(req *api.AttemptRequest, cancel context.CancelFunc, now time.Time) *run {
	return &run{
		id:         req.RequestID,
		attempt:    req.Attempt,
		idempotent: req.Idempotent,
		cancel:     cancel,
		sum:        stream.NewChecksum(),
		changed:    make(chan struct{}),
		turn:       make(chan turn, 1),
		idleAt:     now,
	}
}

// head adds the head frame.
func (r *run) head(status int, contentType string) {
	r.add(api.Frame{Kind: api.FrameHead, Status: status, ContentType: contentType})
}

// data adds a data frame.
func (r *run) data(part []byte) {
	r.mu.Lock()
	r.sum.Add(part)
	seq := r.sum.Count()
	r.mu.Unlock()
	r.add(api.Frame{Kind: api.FrameData, Seq: seq, Data: part})
}

// complete ends the answer with its count and checksum.
func (r *run) complete() {
	r.end(api.Frame{Outcome: api.OutcomeComplete, Count: r.sum.Count(), Checksum: r.sum.Sum()})
}

// refuse ends the answer with a refusal.
func (r *run) refuse(outcome api.Outcome, reason problem.Reason, detail string) {
	r.end(api.Frame{Outcome: outcome, Refusal: &api.Refusal{Reason: string(reason), Detail: detail}})
}

// reject ends the answer with a refusal that every other agent would repeat.
func (r *run) reject(reason problem.Reason, detail string) {
	r.end(api.Frame{Outcome: api.OutcomeNotRun, Refusal: &api.Refusal{Reason: string(reason), Detail: detail, Permanent: true}})
}

func (r *run) end(f api.Frame) {
	f.Kind = api.FrameFinal
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.add(f)
}

func (r *run) add(f api.Frame) {
	f.RequestID = r.id
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
	close(r.changed)
	r.changed = make(chan struct{})
}

// next returns the frames from index i on, whether the answer has ended, and a
// channel that is closed when there is more.
func (r *run) next(i int) ([]api.Frame, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frames[i:], r.ended, r.changed
}

// parts returns the number of data frames so far.
func (r *run) parts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sum.Count()
}

// attach counts a reader, which detach takes back.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *run) detach(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.idleAt = now
}

// abandoned reports whether nobody has read the answer for a time.
func (r *run) abandoned(now time.Time, after time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && now.Sub(r.idleAt) > after
}

// finished reports whether the answer has ended.
func (r *run) finished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}
