package group

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// front is the rank whose agent admits the group's work.
const front = 0

// leaveInterval is the time between two questions whether the group is drained.
const leaveInterval = 100 * time.Millisecond

// frontGone is how long the front agent must refuse connections until the group
// counts as drained: a process that is gone admits nothing.
const frontGone = 2 * time.Second

// Leave asks the group's front agent to take no new work, and waits until the
// group has none left or ctx ends. The front agent itself has nothing to ask.
func (g *Group) Leave(ctx context.Context) error {
	if g.cfg.Rank == front {
		return nil
	}
	request := &LeaveRequest{Rank: g.cfg.Rank, Incarnation: g.incarnation}
	answered := time.Now()
	for {
		var reply LeaveReply
		err := g.client.post(ctx, g.cfg.MemberURLs[front]+PathLeave, request, &reply)
		if err == nil && reply.Drained {
			g.log.Info("the group is drained")
			return nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			answered = time.Now()
		}
		if time.Since(answered) > frontGone {
			g.log.Warn("the front agent is gone; its group has no work")
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leaveInterval):
		}
	}
}

// handleLeave closes the group until the rank is heard in a new incarnation.
func (g *Group) handleLeave(c echo.Context) error {
	var request LeaveRequest
	if err := decode(c.Request().Body, &request); err != nil || request.Rank < 0 || request.Rank >= len(g.cfg.MemberURLs) {
		return c.NoContent(http.StatusBadRequest)
	}
	g.mu.Lock()
	_, known := g.leaving[request.Rank]
	g.leaving[request.Rank] = request.Incarnation
	g.mu.Unlock()
	if !known {
		g.log.WithField("rank", request.Rank).Info("a rank leaves; the group takes no new work")
	}
	g.closed()
	return c.JSON(http.StatusOK, LeaveReply{Drained: g.running() == 0})
}
