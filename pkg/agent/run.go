package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
)

// run is one admitted request and the frames of its response. Frames are kept so
// that a reader can resume on a new connection.
type run struct {
	id         string
	attempt    int
	idempotent bool
	cancel     context.CancelFunc

	mu       sync.Mutex
	frames   []api.Frame
	checksum *stream.Checksum
	ended    bool
	// changed is closed and replaced when a frame is added.
	changed chan struct{}
	// kept is the memory that the data frames take, in bytes.
	kept int64
	// queued is true if the request was queued when it was admitted. queueOutcome
	// then receives why it has left the queue.
	queued       bool
	queueOutcome chan queueOutcome
	// readers is the number of connections that read the frames, idleSince when it last
	// decreased, or when the run was created.
	readers   int
	idleSince time.Time
}

func newRun(req *api.AttemptRequest, cancel context.CancelFunc, now time.Time) *run {
	return &run{
		id:           req.RequestID,
		attempt:      req.Attempt,
		idempotent:   req.Idempotent,
		cancel:       cancel,
		checksum:     stream.NewChecksum(),
		changed:      make(chan struct{}),
		queueOutcome: make(chan queueOutcome, 1),
		idleSince:    now,
	}
}

// setHeader adds the header frame.
func (r *run) setHeader(status int, contentType string) {
	r.addFrame(api.Frame{Kind: api.FrameHeader, Status: status, ContentType: contentType})
}

// Limits of the memory for responses that can be read again.
const (
	// frameBytes is the size of a data frame without its data.
	frameBytes = 256
	// maxKeptBytes limits all responses of an agent. It is a quarter of the memory that a host
	// of the system may spend.
	maxKeptBytes = 64 << 20
)

// Errors of responses that are not kept. Their messages name the remedy.
var (
	errResponseTooLong = errors.New("the answer does not end; look at the upstream")
	errMemoryFull      = errors.New("the agent keeps too many long answers; send the request elsewhere, and look at the upstream")
)

// keptCost returns the memory that a part of a response takes, in bytes.
func keptCost(part []byte) int64 { return int64(len(part)) + frameBytes }

// writeData adds a data frame. It returns an error if the response is too long.
func (r *run) writeData(part []byte) error {
	r.mu.Lock()
	r.kept += keptCost(part)
	if r.kept > maxResponseBytes {
		r.mu.Unlock()
		return errResponseTooLong
	}
	r.checksum.Add(part)
	seq := r.checksum.Count()
	r.mu.Unlock()
	r.addFrame(api.Frame{Kind: api.FrameData, Seq: seq, Data: part})
	return nil
}

// keptBytes returns the memory that the response takes.
func (r *run) keptBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept
}

// complete ends the response with the count and the checksum of its data frames.
func (r *run) complete() {
	r.end(api.Frame{Outcome: api.OutcomeComplete, Count: r.checksum.Count(), Checksum: r.checksum.Sum()})
}

// refuse ends the response with a refusal.
func (r *run) refuse(outcome api.Outcome, reason problem.Reason, detail string) {
	r.end(api.Frame{Outcome: outcome, Refusal: &api.Refusal{Reason: string(reason), Detail: detail}})
}

// reject ends the response with a permanent refusal: every other agent would refuse the
// request as well.
func (r *run) reject(reason problem.Reason, detail string) {
	r.end(api.Frame{Outcome: api.OutcomeNotRun, Refusal: &api.Refusal{Reason: string(reason), Detail: detail, Permanent: true}})
}

func (r *run) end(f api.Frame) {
	f.Kind = api.FrameFinal
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.addFrame(f)
}

func (r *run) addFrame(f api.Frame) {
	f.RequestID = r.id
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
	close(r.changed)
	r.changed = make(chan struct{})
}

// framesFrom returns the frames from index i on, whether the response has ended, and a
// channel that is closed when the next frame is added.
func (r *run) framesFrom(i int) ([]api.Frame, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frames[i:], r.ended, r.changed
}

// partCount returns the number of data frames.
func (r *run) partCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checksum.Count()
}

// addReader counts a reader until removeReader is called.
func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *run) removeReader(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.idleSince = now
}

// isAbandoned reports whether the run has had no reader for longer than after.
func (r *run) isAbandoned(now time.Time, after time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && now.Sub(r.idleSince) > after
}

// hasEnded reports whether the response has ended.
func (r *run) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}
