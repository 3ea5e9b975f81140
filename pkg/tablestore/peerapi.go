package tablestore

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// maxUpdateWait limits the time for which the response to an update request is delayed.
const maxUpdateWait = 10 * time.Second

// RegisterPeerRoutes registers the routes by which other entries read the table.
func (s *Store) RegisterPeerRoutes(g *echo.Group) {
	g.POST(peer.PathTableUpdates, s.handleUpdateRequest)
	g.GET(peer.PathTablePages+"/:hash", s.handlePage)
}

func (s *Store) handleUpdateRequest(c echo.Context) error {
	var request tablesync.UpdateRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maxUpdateWait)
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	return c.JSON(http.StatusOK, s.waitForUpdate(ctx, &request))
}

// waitForUpdate returns the changes that the requesting entry does not have, as soon as
// there are any, or when ctx ends.
func (s *Store) waitForUpdate(ctx context.Context, request *tablesync.UpdateRequest) *tablesync.Update {
	for {
		s.mu.Lock()
		changed := s.changed
		update, hasChanges := s.updateFor(request)
		s.mu.Unlock()
		if hasChanges {
			return update
		}
		select {
		case <-ctx.Done():
			return update
		case <-changed:
		}
	}
}

// updateFor returns the changes that the requesting entry does not have, and whether there
// are any. The caller holds the lock.
func (s *Store) updateFor(request *tablesync.UpdateRequest) (*tablesync.Update, bool) {
	current := s.marks.Marks()
	update := &tablesync.Update{Entry: s.cfg.Entry, Version: s.replica.Head().Version, Provisional: current.Provisional}
	if update.Version > request.Version {
		update.Head = s.replica.Head()
	}
	return update, s.marks.HasNewer(request.Version, request.Provisional)
}

func (s *Store) handlePage(c echo.Context) error {
	p, ok := s.page(c.Param("hash"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, p)
}
