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

// maxNewsWait bounds the time that an ask may wait for news.
const maxNewsWait = 10 * time.Second

// RegisterPeer adds the routes by which other entries read the table.
func (s *Store) RegisterPeer(g *echo.Group) {
	g.POST(peer.PathTableNews, s.handleNews)
	g.GET(peer.PathTablePages+"/:hash", s.handlePage)
}

func (s *Store) handleNews(c echo.Context) error {
	var ask tablesync.UpdateRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&ask); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait := min(time.Duration(ask.WaitMillis)*time.Millisecond, maxNewsWait)
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	return c.JSON(http.StatusOK, s.waitNews(ctx, &ask))
}

// waitNews returns what the asker lacks, as soon as there is something, or when
// ctx ends.
func (s *Store) waitNews(ctx context.Context, ask *tablesync.UpdateRequest) *tablesync.Update {
	for {
		s.mu.Lock()
		changed := s.changed
		news, some := s.news(ask)
		s.mu.Unlock()
		if some {
			return news
		}
		select {
		case <-ctx.Done():
			return news
		case <-changed:
		}
	}
}

// news returns what the asker lacks, and whether there is something. The caller
// holds the lock.
func (s *Store) news(ask *tablesync.UpdateRequest) (*tablesync.Update, bool) {
	held := s.marks.Marks()
	news := &tablesync.Update{Entry: s.cfg.Entry, Version: s.holder.Head().Version, Provisional: held.Provisional}
	if news.Version > ask.Version {
		news.Head = s.holder.Head()
	}
	return news, s.marks.HasNewer(ask.Version, ask.Provisional)
}

func (s *Store) handlePage(c echo.Context) error {
	p, ok := s.page(c.Param("hash"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, p)
}
