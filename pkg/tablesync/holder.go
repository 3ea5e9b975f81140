// Package tablesync decides which version of the table a holder takes, which
// pages it lacks, whom it asks, and what became of a write whose answer was
// lost. It is pure.
package tablesync

import (
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Errors of a holder.
var (
	// ErrNotNewer means that the holder has this version or a newer one.
	ErrNotNewer = errors.New("the table in force is as new; nothing is to be done")
	// ErrPageMissing means that a page of a head was not given.
	ErrPageMissing = errors.New("a page of the table is missing; fetch it from another source")
	// ErrPageHashMismatch means that a page is not the one that its hash names.
	ErrPageHashMismatch = errors.New("a page of the table is damaged; fetch it from another source")
)

// Replica holds one version of the table with its pages. Its version only goes
// up.
type Replica struct {
	head  *table.Head
	table *table.Table
	pages map[string]table.Page
}

// Head returns the head in force, which must not be changed. Its version is 0
// when there is none.
func (h *Replica) Head() *table.Head {
	if h.head == nil {
		return &table.Head{}
	}
	return h.head
}

// Table returns the table in force, or nil.
func (h *Replica) Table() *table.Table { return h.table }

// Page returns a page of the table in force by its hash.
func (h *Replica) Page(hash string) (table.Page, bool) {
	p, ok := h.pages[hash]
	return p, ok
}

// Missing returns the pages of a head that the holder lacks.
func (h *Replica) Missing(head *table.Head) []table.PageRef {
	var missing []table.PageRef
	for _, ref := range head.Pages {
		if _, ok := h.pages[ref.Hash()]; !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// Apply takes a newer version, with the pages that were missing. It takes the
// version whole or not at all.
func (h *Replica) Apply(head *table.Head, fetched []table.Page) error {
	if head.Version <= h.Head().Version {
		return ErrNotNewer
	}
	arrived := make(map[string]table.Page, len(fetched))
	for _, p := range fetched {
		hash, err := p.Hash()
		if err != nil {
			return err
		}
		arrived[hash] = p
	}
	pages := make(map[string]table.Page, len(head.Pages))
	t, ok := table.Assemble(head, func(hash string) (table.Page, bool) {
		p, ok := arrived[hash]
		if !ok {
			p, ok = h.pages[hash]
		}
		pages[hash] = p
		return p, ok
	})
	if !ok {
		return ErrPageMissing
	}
	h.head, h.table, h.pages = head, t, pages
	return nil
}

// CheckPage reports whether a page is the one that a reference names.
func CheckPage(ref table.PageRef, p table.Page) error {
	hash, err := p.Hash()
	if err != nil {
		return err
	}
	if hash != ref.Hash() {
		return ErrPageHashMismatch
	}
	return nil
}
