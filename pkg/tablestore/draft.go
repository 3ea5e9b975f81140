package tablestore

import (
	"reflect"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Limits of the records in a head.
const (
	// pageRetention is the time for which a page is kept after it was retired.
	pageRetention = 10 * time.Minute
	// maxRetiredPages is the largest number of retired pages that are kept.
	maxRetiredPages = 1024
	// maxSettledMarks is the number of settled provisional marks that a head records.
	// A host that was cut off while more were settled reintroduces older ones.
	maxSettledMarks = 256
)

// Draft is a copy of the table that an Edit modifies.
type Draft struct {
	*table.Table
	settled []string
	check   func(*table.Table) table.CellErrors
}

// IsSettled reports whether a provisional mark has been written into the table.
func (d *Draft) IsSettled(id string) bool { return slices.Contains(d.settled, id) }

// MarkSettled records that a provisional mark has been written into the table and no
// longer applies by itself.
func (d *Draft) MarkSettled(id string) {
	if d.IsSettled(id) {
		return
	}
	d.settled = append(slices.Clone(d.settled), id)
	d.settled = d.settled[max(0, len(d.settled)-maxSettledMarks):]
}

// Check returns table.CellErrors with every invalid cell of the draft, or nil.
func (d *Draft) Check() error {
	if cellErrors := d.check(d.Table); cellErrors != nil {
		return cellErrors
	}
	return nil
}

// write is a prepared change of the stored table. It replaces the head that has the
// version baseVersion and the store's resourceVersion. pages are the new pages by name;
// expired are the retired pages that are deleted once the write is accepted.
type write struct {
	id              string
	baseVersion     uint64
	resourceVersion string
	head            *table.Head
	table           *table.Table
	pages           map[string]table.Page
	expired         []table.RetiredPage
}

// newWrite returns the write that makes a draft the successor of a head, or nil when
// nothing has changed.
func newWrite(base *table.Head, resourceVersion string, d *Draft, id string, now time.Time) (*write, error) {
	refs, created, err := pageRefs(base, d.Organisations, id)
	if err != nil {
		return nil, err
	}
	head := *base
	head.Pages, head.Services, head.FailureDomains, head.Upstreams = refs, d.Services, d.FailureDomains, d.Upstreams
	head.Settled = d.settled
	if base.Version > 0 && reflect.DeepEqual(&head, base) {
		return nil, nil
	}
	head.Version++
	head.Writes = tablesync.AppendWriteRecord(base.Writes, table.WriteRecord{Version: head.Version, ID: id})
	w := &write{id: id, baseVersion: base.Version, resourceVersion: resourceVersion, head: &head, table: d.Table, pages: created}
	head.Retired, w.expired = retirePages(base, refs, now)
	return w, nil
}

// pageRefs splits organisations into pages and returns the references to them, and the
// new pages by name. Pages of the base keep their names. A retired page that belongs to
// the table again gets a new name, because the retired one may be deleted at any time.
func pageRefs(base *table.Head, organisations []table.Organisation, id string) ([]table.PageRef, map[string]table.Page, error) {
	known := make(map[string]table.PageRef, len(base.Pages))
	for _, ref := range base.Pages {
		known[ref.Hash()] = ref
	}
	var refs []table.PageRef
	created := make(map[string]table.Page)
	for _, p := range table.SplitPages(organisations) {
		hash, err := p.Hash()
		if err != nil {
			return nil, nil, err
		}
		ref, ok := known[hash]
		if !ok {
			ref = table.PageRef{Name: hash + "-" + id, Rows: len(p.Organisations)}
			created[ref.Name] = p
		}
		refs = append(refs, ref)
	}
	return refs, created, nil
}

// retirePages returns the pages that no longer belong to the table: those that are kept
// for now, and those that are deleted once the write is accepted.
func retirePages(base *table.Head, refs []table.PageRef, now time.Time) (kept, expired []table.RetiredPage) {
	for _, r := range base.Retired {
		if now.Sub(time.UnixMilli(r.RetiredUnixMilli)) > pageRetention {
			expired = append(expired, r)
			continue
		}
		kept = append(kept, r)
	}
	for _, ref := range base.Pages {
		if !slices.Contains(refs, ref) {
			kept = append(kept, table.RetiredPage{Name: ref.Name, RetiredUnixMilli: now.UnixMilli()})
		}
	}
	excess := max(0, len(kept)-maxRetiredPages)
	return kept[excess:], append(expired, kept[:excess]...)
}
