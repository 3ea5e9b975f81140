package attempt

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/filter/queue"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// Times of second attempts.
const (
	// hedgeRetryInterval is the time after which a second attempt is tried again that could
	// not be sent or has failed.
	hedgeRetryInterval = 250 * time.Millisecond
	// movedSilence is how long an attempt that should move must have been silent to go on
	// beside a second one. One that still sends parts would always overtake that.
	movedSilence = 500 * time.Millisecond
)

// supervisor supervises the attempt of a request that relays its response. While that is
// silent, it may run a second attempt beside it. The first one is ended only once the second
// one has a part to relay, and goes on if it sends a part before.
type supervisor struct {
	*job
	ctx     context.Context
	current *run
	// cutOff and moveRequested are those of the current attempt's upstream, nil once they
	// have been heeded.
	cutOff, moveRequested <-chan struct{}
	// acquiring receives the upstream of a move or a second attempt, nil while none is acquired.
	acquiring chan acquisition
	// stopAcquiring ends the acquisition. partsBefore is the number of parts that were relayed
	// when it began.
	stopAcquiring context.CancelFunc
	partsBefore   int64
	// obstacle is why the last second attempt could not be sent.
	obstacle string
}

// acquisition is an upstream that was acquired beside the running attempt, or why none was.
type acquisition struct {
	reservation
	isMove bool
	err    error
}

// readResponse runs a step that reads a response, and returns the upstream of the attempt that
// has relayed it and the result.
func (j *job) readResponse(ctx context.Context, u fleet.Upstream, s step) (fleet.Upstream, Result) {
	v := &supervisor{job: j, ctx: ctx}
	first := j.newRun(ctx, u, j.ticketID, j.pass, j.exchange)
	j.silenceTimer = time.NewTimer(j.silenceTimeout())
	defer j.silenceTimer.Stop()
	// A first attempt has no header yet.
	_ = v.setCurrent(first)
	first.start(s)
	result := v.supervise()
	return v.current.upstream, result
}

// setCurrent makes an attempt the one that relays. The error is that of its header, which
// it may have received before.
func (v *supervisor) setCurrent(r *run) error {
	v.relaying.Lock()
	defer v.relaying.Unlock()
	if v.hedge == r {
		v.request.Reply.StartAttempt()
	}
	v.relayingRun, v.hedge = r, nil
	v.current, v.cutOff, v.moveRequested = r, r.upstream.EntryCutOff, r.upstream.MoveRequested
	v.recordActivity()
	defer close(r.relays)
	if r.head == nil {
		return nil
	}
	return r.setHeader(r.head.status, r.head.header)
}

// supervise returns the result once the response has ended.
func (v *supervisor) supervise() Result {
	for {
		var hedgeReady chan struct{}
		var hedgeDone chan outcome
		if v.hedge != nil {
			hedgeReady, hedgeDone = v.hedge.ready, v.hedge.done
		}
		select {
		case o := <-v.current.done:
			// A second attempt that was overtaken does not continue after the latest part.
			if v.hedge == nil || v.hedge.ctx.Err() != nil || !v.mayGoOnAfter(o) {
				return v.finish(o)
			}
			v.replaceCurrent(o.Result)
		case <-hedgeReady:
			if first, ended := v.overtake(); ended {
				return v.finish(first)
			}
			if v.hedge != nil {
				v.endHedge(<-v.hedge.done)
			}
		case o := <-hedgeDone:
			if result, ended := v.handleHedgeEnd(o); ended {
				return result
			}
		case <-v.silenceTimer.C:
			v.handleSilence()
		case a := <-v.acquiring:
			v.handleAcquisition(a)
		case <-v.cutOff:
			v.cutOff = nil
			// Another entry can take a request again whose response has not begun.
			if v.request.Idempotent && !v.current.HasStarted() {
				v.current.end(errCutOff)
			}
		case <-v.moveRequested:
			v.moveRequested = nil
			v.acquire(!v.cfg.Hedge || v.silence() < movedSilence)
		}
	}
}

// handleHedgeEnd handles the end of a second attempt that does not relay. It returns true and the
// result if the response has ended.
func (v *supervisor) handleHedgeEnd(o outcome) (Result, bool) {
	if o.isComplete() {
		// The rest of the response has no part.
		first, ended := v.overtake()
		if v.hedge == nil {
			return v.finish(o), true
		}
		if ended {
			v.endHedge(o)
			return v.finish(first), true
		}
	}
	if !v.endHedge(o) {
		v.silenceTimer.Reset(hedgeRetryInterval)
	}
	return Result{}, false
}

// isComplete reports whether the whole response was relayed, or could be.
func (o outcome) isComplete() bool {
	return o.Event == retry.EventComplete && o.Err == nil && o.panicked == nil
}

// mayGoOnAfter reports whether the second attempt may go on after the first one has ended.
func (v *supervisor) mayGoOnAfter(o outcome) bool {
	return o.Event != retry.EventComplete && o.Err == nil && o.panicked == nil && v.ctx.Err() == nil && !isRevoked(v.current.pass)
}

// overtake ends the first attempt, so that the second one relays, unless the first one has gone
// on meanwhile. If the first one has ended with the response, overtake returns its outcome
// and true.
func (v *supervisor) overtake() (outcome, bool) {
	v.relaying.Lock()
	overtaken := v.hedge.ctx.Err() != nil
	if !overtaken {
		v.relayingRun = nil
	}
	v.relaying.Unlock()
	if overtaken {
		return outcome{}, false
	}
	v.current.end(errHedged)
	o := <-v.current.done
	if !v.mayGoOnAfter(o) && !errors.Is(o.Err, errHedged) {
		return o, true
	}
	v.current.recordOwnEnd()
	v.replaceCurrent(movedResult())
	return outcome{}, false
}

// replaceCurrent makes the second attempt the one that relays, after the first one has ended
// with a result.
func (v *supervisor) replaceCurrent(result Result) {
	old, hedge := v.current, v.hedge
	old.end(nil)
	v.recordRefusal(result)
	if result.Event != retry.EventNotRun && result.Event != retry.EventNotSent {
		v.state.MaybeRan = true
		go v.abandon(old.exchange, old.upstream, old.number)
	}
	old.pass.RecordEnd(v.endOf(v.ctx, result))
	v.fleet.Release(old.ticketID, v.failureReason())
	v.retries.WithLabelValues(string(v.failureReason())).Inc()
	v.returnCost()
	v.refusal = nil
	v.ticketID, v.pass, v.exchange = hedge.ticketID, hedge.pass, hedge.exchange
	v.hedges.WithLabelValues(hedgeRelayed).Inc()
	v.recordDecision("go on with the second attempt", result.Event.String(), hedge.upstream.Report.Upstream)
	if err := v.setCurrent(hedge); err != nil {
		// Nothing was relayed since the header was checked, so that this is not expected.
		hedge.end(err)
	}
}

// finish returns the result of the attempt that has relayed the response to its end.
func (v *supervisor) finish(o outcome) Result {
	v.endAcquisition()
	if v.hedge != nil {
		v.hedge.end(errOvertaken)
		v.endHedge(<-v.hedge.done)
	}
	current := v.current
	timedOut, stopped := errors.Is(current.ctx.Err(), context.DeadlineExceeded), isStopping(current.ctx)
	current.end(nil)
	if !o.isComplete() {
		current.recordOwnEnd()
	}
	if o.panicked != nil {
		panic(o.panicked)
	}
	result := o.Result
	v.request.WithoutLength = result.WithoutLength
	switch {
	case isRevoked(v.pass) && result.Event != retry.EventComplete && result.Err == nil:
		result = Result{Event: retry.EventUnknown, Refusal: revocationRefusal(v.pass)}
	case v.moveTarget != nil && result.Event != retry.EventComplete && result.Err == nil:
		result = movedResult()
	}
	if result.Refusal != nil && timedOut {
		// The connection's own error is only a consequence of the deadline.
		result.Refusal.Detail = timeLimitDetail
	}
	if result.Refusal != nil && stopped {
		result.Refusal.Detail = pipe.ErrStopping.Error()
	}
	return v.recordRefusal(result)
}

// movedResult returns the result of an attempt that was ended to continue elsewhere.
func movedResult() Result {
	return Result{Event: retry.EventMoved, Refusal: &api.Refusal{Reason: string(problem.ReasonUpstreamSlow)}}
}

// Results of second attempts, as labels.
const (
	hedgeRelayed   = "relayed"
	hedgeOvertaken = "overtaken"
	hedgeFailed    = "failed"
	hedgeRefused   = "refused"
)

// endHedge records the end of a second attempt that has not relayed. It returns true if the
// first one has overtaken it.
func (v *supervisor) endHedge(o outcome) bool {
	hedge := v.hedge
	v.setHedge(nil)
	overtaken := errors.Is(context.Cause(hedge.ctx), errOvertaken)
	hedge.end(nil)
	if o.panicked != nil {
		panic(o.panicked)
	}
	result, failure, end := hedgeOvertaken, problem.Reason(""), EndOther
	if !overtaken && v.ctx.Err() == nil {
		result, failure, end = hedgeFailed, reasonOf(o.Refusal), hedge.endOf(v.ctx, o.Result)
		v.recordDecision("give up the second attempt", o.Event.String()+", "+string(failure), hedge.upstream.Report.Upstream)
	}
	switch o.Event {
	case retry.EventNotSent:
		v.state.RecordUnsent()
	case retry.EventNotRun:
	default:
		v.state.MaybeRan = true
		go v.abandon(hedge.exchange, hedge.upstream, hedge.number)
	}
	v.hedges.WithLabelValues(result).Inc()
	v.returnCost()
	hedge.pass.RecordEnd(end)
	v.fleet.Release(hedge.ticketID, failure)
	return overtaken
}

// returnCost returns the expected cost of an attempt whose response was not used to its end.
func (v *supervisor) returnCost() {
	r := v.request
	v.fleet.ReconcileCost(r.Service.Name, r.Organisation.Name, r.Organisation.Weight, -r.ExpectedCost)
}

// handleSilence is called when nothing has arrived for the timeout.
func (v *supervisor) handleSilence() {
	if !v.cfg.Hedge {
		v.current.end(errSilent)
		return
	}
	v.acquire(false)
}

// acquire begins to acquire another upstream, for a move or a second attempt.
func (v *supervisor) acquire(isMove bool) {
	now := time.Now()
	if v.acquiring != nil || v.hedge != nil {
		v.silenceTimer.Reset(hedgeRetryInterval)
		return
	}
	if !v.state.MayMove(now) {
		return
	}
	if !isMove && !v.request.Streamed && v.current.HasStarted() {
		// No other response can continue one that is no stream.
		return
	}
	if !v.allowsRetry(now) {
		v.recordObstacle(retriesSpent)
		return
	}
	ticketID := v.ticketID + hedgeSuffix
	if isMove {
		ticketID = v.ticketID + moveSuffix
	}
	ticket := queue.Ticket{ID: ticketID, Priority: isMove || v.current.HasStarted(), Hedge: !isMove}
	ctx, cancel := context.WithCancel(v.ctx)
	acquiring := make(chan acquisition, 1)
	v.acquiring, v.stopAcquiring, v.partsBefore = acquiring, cancel, v.parts.Load()
	go func() {
		u, pass, err := v.acquireAdmitted(ctx, ticket)
		acquiring <- acquisition{reservation: reservation{Upstream: u, ticketID: ticketID, pass: pass}, isMove: isMove, err: err}
	}()
}

// recordObstacle records why no second attempt is sent, and tries it again after some time.
func (v *supervisor) recordObstacle(why string) {
	if why != v.obstacle {
		v.recordDecision("send no second attempt", fmt.Sprintf("nothing has arrived for %d ms; %s", v.silence().Milliseconds(), why), v.current.upstream.Report.Upstream)
		v.obstacle = why
	}
	v.silenceTimer.Reset(hedgeRetryInterval)
}

// endAcquisition ends a running acquisition.
func (v *supervisor) endAcquisition() {
	if v.acquiring == nil {
		return
	}
	v.stopAcquiring()
	if a := <-v.acquiring; a.err == nil {
		v.cancelReservation(&a.reservation)
	}
	v.acquiring = nil
}

// handleAcquisition moves the request to the upstream that was acquired, or sends a second
// attempt to it.
func (v *supervisor) handleAcquisition(a acquisition) {
	v.stopAcquiring()
	v.acquiring = nil
	if a.err != nil {
		if !a.isMove {
			v.hedges.WithLabelValues(hedgeRefused).Inc()
			v.recordObstacle(describeRefusal(a.err))
		}
		return
	}
	if a.isMove {
		if !v.spendRetry(time.Now()) {
			v.cancelReservation(&a.reservation)
			return
		}
		v.moveTarget = &a.reservation
		v.current.end(errMoved)
		return
	}
	if !v.prepareHedge(&a.reservation) {
		v.cancelReservation(&a.reservation)
		return
	}
	if !v.spendRetry(time.Now()) {
		v.setHedge(nil)
		v.cancelReservation(&a.reservation)
		v.recordObstacle(retriesSpent)
		return
	}
	v.startHedge(&a.reservation)
}

// prepareHedge makes a second attempt that continues after what has been relayed. It returns false
// if the first one has gone on since the acquisition began, or if no attempt can continue the
// response.
func (v *supervisor) prepareHedge(to *reservation) bool {
	if v.parts.Load() != v.partsBefore {
		return false
	}
	x, ok := v.exchange.Fork()
	if !ok {
		return false
	}
	hedge := v.newRun(v.ctx, to.Upstream, to.ticketID, to.pass, x)
	hedge.number++
	v.relaying.Lock()
	defer v.relaying.Unlock()
	// A part that was relayed since the fork would be repeated. One that follows ends the second
	// attempt.
	if v.parts.Load() != v.partsBefore {
		hedge.end(errOvertaken)
		return false
	}
	v.hedge = hedge
	return true
}

// setHedge sets the second attempt that runs beside the first one, nil for none.
func (v *supervisor) setHedge(r *run) {
	v.relaying.Lock()
	defer v.relaying.Unlock()
	v.hedge = r
}

// retriesSpent is the obstacle of a second attempt that the retry budget does not allow.
const retriesSpent = "the retry budget is spent"

// startHedge sends the second attempt.
func (v *supervisor) startHedge(to *reservation) {
	v.state.Attempts++
	v.obstacle = ""
	v.request.TriedUpstreams = append(v.request.TriedUpstreams, to.Report.Upstream)
	v.recordDecision("send a second attempt", fmt.Sprintf("nothing has arrived for %d ms; %s", v.silence().Milliseconds(), to.SelectionReason), to.Report.Upstream)
	to.pass.RecordStart(to.Upstream)
	v.hedge.start((*run).send)
}

// describeRefusal returns why no upstream was acquired.
func describeRefusal(err error) string {
	var p *problem.Problem
	if errors.As(err, &p) {
		return string(p.Reason) + ": " + p.Detail
	}
	return err.Error()
}
