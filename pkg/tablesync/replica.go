// Package tablesync replicates the operators' table (package table) between entries. A
// version of the table consists of a head and the pages that the head refers to by the
// hash of their content, so that a replica fetches only pages that changed.
//
// The package decides which version a replica applies, which pages it has to fetch and
// from which entries it requests updates, and resolves the outcome of a write whose
// response was lost. It does no I/O and reads no clock.
package tablesync

import (
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Errors of a replica.
var (
	// ErrNotNewer means that the replica has this version or a newer one.
	ErrNotNewer = errors.New("the table's version is not newer than the current one; no action is needed")
	// ErrPageMissing means that a page that a head refers to was not fetched.
	ErrPageMissing = errors.New("a page of the table is missing; fetch it from another source")
	// ErrPageHashMismatch means that a page's content does not match the hash in its
	// reference.
	ErrPageHashMismatch = errors.New("a page of the table is damaged; fetch it from another source")
)

// Replica holds one version of the table with its pages. Its version only increases.
type Replica struct {
	head  *table.Head
	table *table.Table
	pages map[string]table.Page
}

// Head returns the current head, which must not be changed. Its version is 0 when
// there is none.
func (r *Replica) Head() *table.Head {
	if r.head == nil {
		return &table.Head{}
	}
	return r.head
}

// Table returns the current table, or nil.
func (r *Replica) Table() *table.Table { return r.table }

// Page returns a page of the current table by its hash.
func (r *Replica) Page(hash string) (table.Page, bool) {
	p, ok := r.pages[hash]
	return p, ok
}

// Missing returns the pages of a head that the replica does not have.
func (r *Replica) Missing(head *table.Head) []table.PageRef {
	var missing []table.PageRef
	for _, ref := range head.Pages {
		if _, ok := r.pages[ref.Hash()]; !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

// Apply replaces the table by a newer version. fetched holds the pages that were
// missing. After an error the current version is unchanged.
func (r *Replica) Apply(head *table.Head, fetched []table.Page) error {
	if head.Version <= r.Head().Version {
		return ErrNotNewer
	}
	byHash := make(map[string]table.Page, len(fetched))
	for _, p := range fetched {
		hash, err := p.Hash()
		if err != nil {
			return err
		}
		byHash[hash] = p
	}
	pages := make(map[string]table.Page, len(head.Pages))
	t, ok := table.Assemble(head, func(hash string) (table.Page, bool) {
		p, ok := byHash[hash]
		if !ok {
			p, ok = r.pages[hash]
		}
		pages[hash] = p
		return p, ok
	})
	if !ok {
		return ErrPageMissing
	}
	r.head, r.table, r.pages = head, t, pages
	return nil
}

// CheckPage returns ErrPageHashMismatch unless a page's content matches the hash in its
// reference.
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
