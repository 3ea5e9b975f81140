package tablesync

import (
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// UpdateRequest requests from another entry the changes of the table and its marks
// that the requesting entry does not have.
type UpdateRequest struct {
	// Entry is the requesting entry.
	Entry string `json:"entry"`
	// Version and Provisional are the requesting entry's current table version and
	// provisional marks.
	Version     uint64                `json:"version"`
	Provisional []api.ProvisionalMark `json:"provisional,omitempty"`
	// WaitMillis is how long the response may be delayed until there is a change.
	WaitMillis int64 `json:"wait_millis"`
}

// Update is the response to an UpdateRequest.
type Update struct {
	// Entry is the responding entry, Version its current table version.
	Entry   string `json:"entry"`
	Version uint64 `json:"version"`
	// Provisional lists the responding entry's marks that are not yet in the table.
	Provisional []api.ProvisionalMark `json:"provisional,omitempty"`
	// Head is set when it is newer than the requesting entry's.
	Head *table.Head `json:"head,omitempty"`
}
