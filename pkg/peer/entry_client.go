package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Paths of an entry's API for other entries.
const (
	PathTableNews  = PathTable + "/news"
	PathTablePages = PathTable + "/pages"
	PathCeilings   = "/v1/ceilings"
)

// EntryClient calls other entries.
type EntryClient struct {
	calls *AgentClient
}

// NewEntryClient returns a client that authenticates with the shared secret.
func NewEntryClient(token string) *EntryClient {
	return &EntryClient{calls: NewAgentClient(token)}
}

// PollUpdate asks an entry for what it holds that the asker lacks. The answer waits
// as long as the ask says.
func (c *EntryClient) PollUpdate(ctx context.Context, address string, ask *tablesync.UpdateRequest) (*tablesync.Update, error) {
	var news tablesync.Update
	return &news, c.calls.call(ctx, c.calls.stream, address+PathTableNews, ask, &news)
}

// RequestLeases asks an entry, as the home of organisations, for parts of their
// ceilings.
func (c *EntryClient) RequestLeases(ctx context.Context, address string, q *ceiling.BatchRequest) (ceiling.BatchResponse, error) {
	var answer ceiling.BatchResponse
	err := c.calls.call(ctx, c.calls.stream, address+PathCeilings, q, &answer)
	return answer, err
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
