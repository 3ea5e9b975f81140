package attempt

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/relay"
)

// Reasons for which the entry itself ends an attempt, as causes of its context.
var (
	errSilent = errors.New("the upstream was silent")
	errCutOff = errors.New("no upstream could be reached")
	errMoved  = errors.New("another upstream was acquired")
	errHedged = errors.New("a second attempt goes on with the response")
	// errOvertaken ends a second attempt.
	errOvertaken = errors.New("the first attempt went on")
)

// step is what a run does until its response has ended or was aborted.
type step func(r *run) Result

// outcome is how a step has ended. panicked is the value of a panic, nil if there was none.
type outcome struct {
	Result
	panicked any
}

// run is a running attempt. Its step runs in a goroutine, for which it implements Sink.
type run struct {
	*job
	upstream fleet.Upstream
	ticketID string
	pass     Pass
	exchange Exchange
	// number is the number of the attempt.
	number int
	// end ends ctx with a cause.
	ctx  context.Context
	end  context.CancelCauseFunc
	done chan outcome
	// head is the header of the response of a second attempt until it relays.
	head *responseHead
	// ready is closed once a second attempt has a part to relay, relays once it may.
	ready, relays chan struct{}
}

// responseHead is the header of a response.
type responseHead struct {
	status int
	header http.Header
}

// send is the step that sends the attempt.
func (r *run) send() Result { return r.exchange.Send(r.ctx, r.upstream, r.number, r) }

// resume is the step that reads its response again.
func (r *run) resume() Result { return r.exchange.Resume(r.ctx, r.upstream, r) }

// newRun returns an attempt that is not started.
func (j *job) newRun(ctx context.Context, u fleet.Upstream, ticketID string, pass Pass, x Exchange) *run {
	r := &run{job: j, upstream: u, ticketID: ticketID, pass: pass, exchange: x, number: j.state.Attempts, done: make(chan outcome, 1), ready: make(chan struct{}), relays: make(chan struct{})}
	ctx, stop := withRevocation(ctx, pass)
	ctx, end := context.WithCancelCause(ctx)
	r.ctx, r.end = ctx, func(cause error) {
		end(cause)
		stop()
	}
	return r
}

// start runs a step in a goroutine.
func (r *run) start(s step) {
	go func() {
		var o outcome
		defer func() {
			o.panicked = recover()
			r.done <- o
		}()
		o.Result = s(r)
	}()
}

// relaysAlready reports whether the attempt relays its response.
func (r *run) relaysAlready() bool {
	select {
	case <-r.relays:
		return true
	default:
		return false
	}
}

// recordOwnEnd records that the entry itself has ended the attempt, why, and for how long
// nothing had arrived.
func (r *run) recordOwnEnd() {
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errSilent), errors.Is(cause, errCutOff), errors.Is(cause, errMoved), errors.Is(cause, errHedged):
		r.recordDecision("end the attempt", fmt.Sprintf("%s; nothing has arrived for %d ms", cause, r.silence().Milliseconds()), r.upstream.Report.Upstream)
	}
}

// RecordActivity implements Sink.
func (r *run) RecordActivity() {
	if r.relaysAlready() {
		r.recordActivity()
	}
}

// RecordReport implements Sink.
func (r *run) RecordReport(report api.Report) { r.fleet.RecordReport(report) }

// HasStarted implements Sink.
func (r *run) HasStarted() bool {
	r.relaying.Lock()
	defer r.relaying.Unlock()
	return r.request.Reply.HasStarted()
}

// SetHeader implements Sink. The header of a second attempt is kept until it relays. A
// response that is an error is nothing to go on with.
func (r *run) SetHeader(status int, header http.Header) error {
	r.relaying.Lock()
	defer r.relaying.Unlock()
	if r.relayingRun == r {
		return r.setHeader(status, header)
	}
	if r.hedge != r || status >= http.StatusInternalServerError || !r.request.Reply.CanContinue(status, header) {
		return relay.ErrNotContinuation
	}
	r.head = &responseHead{status, header}
	return nil
}

// setHeader sets the header of the response. The caller holds the lock.
func (r *run) setHeader(status int, header http.Header) error {
	r.recordFurtherResponse(status)
	if err := r.request.Reply.SetHeader(status, header); err != nil {
		return err
	}
	r.fleet.RecordStart(r.ticketID)
	return nil
}

// recordFurtherResponse records the status of a response to an attempt after the first, and
// how many parts of the earlier ones had been received.
func (r *run) recordFurtherResponse(status int) {
	if r.number < 2 {
		return
	}
	r.recordDecision("get a response", fmt.Sprintf("status %d after %.0f parts", status, r.request.ActualCost), r.upstream.Report.Upstream)
}

// WriteData implements Sink. The first part of a second attempt waits until the attempt
// relays.
func (r *run) WriteData(part []byte) error {
	if !r.relaysAlready() {
		close(r.ready)
		select {
		case <-r.relays:
		case <-r.ctx.Done():
			return errors.WithStack(context.Cause(r.ctx))
		}
	}
	r.relaying.Lock()
	defer r.relaying.Unlock()
	if r.relayingRun != r {
		return errHedged
	}
	r.parts.Add(1)
	if r.hedge != nil {
		r.hedge.end(errOvertaken)
	}
	request := r.request
	request.ActualCost++
	request.RecordPart(time.Now())
	r.fleet.RecordPart(r.ticketID)
	r.pass.RecordPart()
	// A caller that reads slowly is no silence of the upstream.
	r.silenceTimer.Stop()
	r.writing.Store(true)
	err := request.Reply.WriteData(part)
	r.writing.Store(false)
	r.recordActivity()
	r.state.RecordProgress(request.Reply.HasStarted())
	return err
}

var _ Sink = (*run)(nil)
