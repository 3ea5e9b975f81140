package agent

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
)

// registerPeerRoutes adds the routes that entries call.
func (a *Agent) registerPeerRoutes(e *echo.Echo) {
	g := e.Group("", peer.RequireToken(a.cfg.PeerToken))
	g.POST(peer.PathAttempts, a.handleAttempt)
	g.GET(peer.PathAttempts+"/:id", a.handleResume)
	g.DELETE(peer.PathAttempts+"/:id", a.handleCancel)
	g.POST(peer.PathWithdraw, a.handleWithdraw)
	g.POST(peer.PathReport, a.handleReport)
	if a.group != nil {
		a.group.Register(g)
	}
	a.registerDecisions(g)
}

// maxMessageBytes is the largest request body of an entry in bytes.
const maxMessageBytes = 64 << 20

func decode(c echo.Context, message any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxMessageBytes)
	return errors.WithStack(json.NewDecoder(body).Decode(message))
}

func (a *Agent) handleAttempt(c echo.Context) error {
	var req api.AttemptRequest
	if err := decode(c, &req); err != nil || !req.Valid(time.Now()) {
		return c.NoContent(http.StatusBadRequest)
	}
	d, r := a.admit(&req, time.Now())
	a.recordAdmission(&req, &d, r != nil)
	w := newFrameWriter(c)
	if r == nil {
		return w.writeNow(a.refusalFrame(req.RequestID, d.Outcome, d.Refusal))
	}
	return a.relay(c, w, r, 1)
}

func (a *Agent) handleResume(c echo.Context) error {
	from, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil || from < 1 {
		return c.NoContent(http.StatusBadRequest)
	}
	a.mu.Lock()
	r := a.runs[c.Param("id")]
	a.mu.Unlock()
	w := newFrameWriter(c)
	if r == nil {
		return w.writeNow(a.refusalFrame(c.Param("id"), api.OutcomeUnknown, nil))
	}
	return a.relay(c, w, r, from)
}

func (a *Agent) handleCancel(c echo.Context) error {
	attempt, err := strconv.Atoi(c.QueryParam("attempt"))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runs[c.Param("id")]; r != nil && r.attempt == attempt {
		a.abandon(r)
	}
	return c.NoContent(http.StatusOK)
}

func (a *Agent) handleWithdraw(c echo.Context) error {
	var req api.WithdrawRequest
	if err := decode(c, &req); err != nil || !req.Valid(time.Now()) {
		return c.NoContent(http.StatusBadRequest)
	}
	a.mu.Lock()
	outcome := a.gate.Withdraw(&req, time.Now())
	if r := a.runs[req.RequestID]; r != nil && outcome == api.OutcomeNotRun {
		a.removeQueued(r)
	}
	a.mu.Unlock()
	a.recordWithdrawal(req.RequestID, outcome)
	return c.JSON(http.StatusOK, api.WithdrawReply{Outcome: outcome})
}

func (a *Agent) handleReport(c echo.Context) error {
	var req api.ReportRequest
	if err := decode(c, &req); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if req.Marks != nil {
		a.applyMarks(*req.Marks)
	}
	return c.JSON(http.StatusOK, a.reportFor(&req))
}

func (a *Agent) applyMarks(m api.Marks) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.SetMarks(m) {
		a.processQueue()
		a.log.WithField("version", m.Version).Info("newer marks applied")
	}
}

func (a *Agent) refusalFrame(id string, outcome api.Outcome, refusal *api.Refusal) *api.Frame {
	report := a.report()
	return &api.Frame{Kind: api.FrameFinal, RequestID: id, Outcome: outcome, Refusal: refusal, Report: &report}
}

// relay writes the frames of a run to an entry until the final frame. It leaves out
// data frames before sequence number from, and writes heartbeats while there are no
// new frames.
func (a *Agent) relay(c echo.Context, w *frameWriter, r *run, from int) error {
	r.addReader()
	defer func() { r.removeReader(time.Now()) }()
	heartbeat := time.NewTicker(a.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	sent := 0
	for {
		frames, ended, changed := r.framesFrom(sent)
		if err := a.writeFrames(w, frames, from); err != nil {
			return err
		}
		sent += len(frames)
		if ended && len(frames) > 0 && frames[len(frames)-1].Kind == api.FrameFinal {
			return nil
		}
		select {
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case <-changed:
		case <-heartbeat.C:
			if err := w.writeNow(&api.Frame{Kind: api.FrameHeartbeat, RequestID: r.id}); err != nil {
				return err
			}
		}
	}
}

func (a *Agent) writeFrames(w *frameWriter, frames []api.Frame, from int) error {
	for i := range frames {
		f := frames[i]
		if f.Kind == api.FrameData && f.Seq < from {
			continue
		}
		if f.Kind == api.FrameFinal {
			report := a.report()
			f.Report = &report
		}
		if err := w.encode(&f); err != nil {
			return err
		}
	}
	if len(frames) > 0 {
		w.flush()
	}
	return nil
}

// frameWriter writes frames as JSON lines.
type frameWriter struct {
	response *echo.Response
	encoder  *json.Encoder
}

func newFrameWriter(c echo.Context) *frameWriter {
	c.Response().Header().Set(echo.HeaderContentType, "application/x-ndjson")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	return &frameWriter{response: c.Response(), encoder: json.NewEncoder(c.Response())}
}

func (w *frameWriter) encode(f *api.Frame) error { return w.encoder.Encode(f) }

func (w *frameWriter) flush() { w.response.Flush() }

// writeNow writes one frame and flushes it.
func (w *frameWriter) writeNow(f *api.Frame) error {
	if err := w.encode(f); err != nil {
		return err
	}
	w.flush()
	return nil
}
