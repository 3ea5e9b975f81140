package operator

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
)

// StoreHistory provides the history of the platform's store as an entry knows it.
type StoreHistory interface {
	StoreHistory() StoreHistoryReport
}

// StoreHistoryReport is the history of the platform's store as an entry knows it.
type StoreHistoryReport struct {
	Entry string `json:"entry"`
	// Era is the number of the store's history, which rises by one when the store comes back
	// from a copy. SinceSeconds is the time since the entry first saw it.
	Era          uint64          `json:"era"`
	SinceSeconds float64         `json:"since_seconds"`
	Kinds        []StorePosition `json:"kinds"`
}

// StorePosition is the point up to which an entry knows the objects of a kind.
type StorePosition struct {
	Kind     string `json:"kind"`
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
}

func (a *API) getStoreHistory(c echo.Context) error {
	r := StoreHistoryReport{Kinds: []StorePosition{}}
	if a.cfg.StoreHistory != nil {
		r = a.cfg.StoreHistory.StoreHistory()
	}
	r.Entry = a.cfg.Entry
	return c.JSON(http.StatusOK, r)
}

// StoreHistory reads the history of the platform's store as the entry knows it.
func (c *Client) StoreHistory(ctx context.Context) (*StoreHistoryReport, error) {
	var r StoreHistoryReport
	return &r, c.call(ctx, http.MethodGet, "/store", nil, &r)
}
