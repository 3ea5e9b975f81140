package group

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// admittingRank is the rank whose agent admits the group's requests.
const admittingRank = 0

// drainPollInterval is the time between two requests to drain the group.
const drainPollInterval = 100 * time.Millisecond

// rank0GoneAfter is how long the agent of rank 0 must refuse connections before the group
// counts as drained, since a process that has ended admits nothing.
const rank0GoneAfter = 2 * time.Second

// RequestDrain requests that the agent of rank 0 admit no new work, and waits until the
// group has none left or ctx ends. The group also counts as drained once the agent of
// rank 0 has refused connections for rank0GoneAfter. At rank 0 itself RequestDrain does
// nothing, because its agent admits all work of the group and drains by itself.
func (g *Group) RequestDrain(ctx context.Context) error {
	if g.cfg.Rank == admittingRank {
		return nil
	}
	request := &DrainRequest{Rank: g.cfg.Rank, Incarnation: g.incarnation}
	lastReachable := time.Now()
	for {
		var reply DrainReply
		err := g.client.post(ctx, g.cfg.MemberURLs[admittingRank]+PathDrain, request, &reply)
		if err == nil && reply.Drained {
			g.log.Info("the group is drained")
			return nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			lastReachable = time.Now()
		}
		if time.Since(lastReachable) > rank0GoneAfter {
			g.log.Warn("the agent of rank 0 refuses connections; the group counts as drained")
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}

// handleDrain stops admission to the group until the agent of the draining rank sends a
// message in a new incarnation. It responds whether the group has no work left.
func (g *Group) handleDrain(c echo.Context) error {
	var request DrainRequest
	if err := decode(c.Request().Body, &request); err != nil || request.Rank < 0 || request.Rank >= len(g.cfg.MemberURLs) {
		return c.NoContent(http.StatusBadRequest)
	}
	g.mu.Lock()
	_, alreadyDraining := g.drainingIncarnations[request.Rank]
	g.drainingIncarnations[request.Rank] = request.Incarnation
	g.mu.Unlock()
	if !alreadyDraining {
		g.log.WithField("rank", request.Rank).Info("the host of a rank is about to stop; the group takes no new work")
	}
	g.closeAdmission()
	return c.JSON(http.StatusOK, DrainReply{Drained: g.runningRequests() == 0})
}
