package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Paths of an entry's API for other entries.
const (
	PathTableNews  = PathTable + "/news"
	PathTablePages = PathTable + "/pages"
)

// EntryClient calls other entries.
type EntryClient struct {
	calls *AgentClient
}

// NewEntryClient returns a client that authenticates with the shared secret.
func NewEntryClient(token string) *EntryClient {
	return &EntryClient{calls: NewAgentClient(token)}
}

// News asks an entry for what it holds that the asker lacks. The answer waits
// as long as the ask says.
func (c *EntryClient) News(ctx context.Context, address string, ask *tablesync.Ask) (*tablesync.News, error) {
	var news tablesync.News
	return &news, c.calls.call(ctx, c.calls.stream, address+PathTableNews, ask, &news)
}

// Page reads a page of the table by its hash.
func (c *EntryClient) Page(ctx context.Context, address, hash string) (table.Page, error) {
	var p table.Page
	body, err := c.calls.open(ctx, c.calls.stream, http.MethodGet, address+PathTablePages+"/"+hash, nil)
	if err != nil {
		return p, err
	}
	defer body.Close()
	err = json.NewDecoder(io.LimitReader(body, maxPageBytes)).Decode(&p)
	return p, errors.Wrap(err, "page can't be read; fetch it from another entry")
}

// maxPageBytes is the largest size of a page.
const maxPageBytes = 1 << 20
