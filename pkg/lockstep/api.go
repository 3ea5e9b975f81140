package lockstep

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// Paths of the API between agents.
const (
	pathOrder = "/v1/rank/order"
	pathRead  = "/v1/rank/read"
)

// orderRequest asks an agent to give its rank an order.
type orderRequest struct {
	From  Place            `json:"from"`
	Order holdswitch.Order `json:"order"`
}

// readRequest asks an agent what its rank has counted.
type readRequest struct {
	From   Place `json:"from"`
	Counts bool  `json:"counts,omitempty"`
	Held   bool  `json:"held,omitempty"`
}

// readReply answers a readRequest.
type readReply struct {
	Reading Reading `json:"reading"`
	Counts  *Counts `json:"counts,omitempty"`
	Held    *Held   `json:"held,omitempty"`
}

// Register adds the routes that other agents call.
func (a *Agent) Register(g *echo.Group) {
	g.POST(pathOrder, func(c echo.Context) error {
		var r orderRequest
		if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		a.hear(r.From)
		return c.JSON(http.StatusOK, a.orderOwn(c.Request().Context(), r.Order))
	})
	g.POST(pathRead, func(c echo.Context) error {
		var r readRequest
		if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		a.hear(r.From)
		reply, err := a.read(c.Request().Context(), &r)
		if err != nil {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, reply)
	})
}

// read reads this agent's own rank.
func (a *Agent) read(ctx context.Context, r *readRequest) (*readReply, error) {
	reading, err := a.engine.Read(ctx)
	if err != nil {
		return nil, err
	}
	reply := &readReply{Reading: reading}
	if r.Counts {
		counts, err := a.engine.Counts(ctx)
		if err != nil {
			return nil, err
		}
		reply.Counts = &counts
	}
	if r.Held {
		held, err := a.engine.Held(ctx)
		if err != nil {
			return nil, err
		}
		reply.Held = &held
	}
	return reply, nil
}

// call calls another agent.
func (a *Agent) call(ctx context.Context, address, path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	resp, err := a.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return errors.Errorf("agent answered %d; it can't read its rank", resp.StatusCode)
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}
