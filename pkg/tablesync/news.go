package tablesync

import (
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// UpdateRequest is what an entry asks another one: what it holds that the asker lacks.
type UpdateRequest struct {
	// Entry is the asker.
	Entry string `json:"entry"`
	// Version and Provisional are what the asker has in force.
	Version     uint64                `json:"version"`
	Provisional []api.ProvisionalMark `json:"provisional,omitempty"`
	// WaitMillis is how long the answer may wait for news.
	WaitMillis int64 `json:"wait_millis"`
}

// Update is the answer to an UpdateRequest.
type Update struct {
	// Entry and Version say what the answering entry has in force.
	Entry   string `json:"entry"`
	Version uint64 `json:"version"`
	// Provisional lists its marks that are not yet in the table.
	Provisional []api.ProvisionalMark `json:"provisional,omitempty"`
	// Head is set when it is newer than the asker's.
	Head *table.Head `json:"head,omitempty"`
}
