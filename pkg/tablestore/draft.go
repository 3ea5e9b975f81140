package tablestore

import (
	"reflect"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Bounds of what a head remembers.
const (
	// pageGrace is how long a page is kept after it left the table.
	pageGrace = 10 * time.Minute
	// maxRetired is how many such pages are kept at most.
	maxRetired = 1024
	// maxSettled is how many settled provisional marks a head remembers. A host
	// that was cut off while more were settled brings back older ones.
	maxSettled = 256
)

// Draft is a change of the table that is being made.
type Draft struct {
	*table.Table
	settled []string
	check   func(*table.Table) table.Faults
}

// IsSettled reports whether a provisional mark has been written into the table.
func (d *Draft) IsSettled(id string) bool { return slices.Contains(d.settled, id) }

// MarkSettled records that a provisional mark is no longer in force by itself.
func (d *Draft) MarkSettled(id string) {
	if d.IsSettled(id) {
		return
	}
	d.settled = append(slices.Clone(d.settled), id)
	d.settled = d.settled[max(0, len(d.settled)-maxSettled):]
}

// Check returns every bad cell of the draft as table.Faults, or nil.
func (d *Draft) Check() error {
	if faults := d.check(d.Table); faults != nil {
		return faults
	}
	return nil
}

// write is a prepared change of the stored table.
type write struct {
	id      string
	base    uint64
	version string
	head    *table.Head
	table   *table.Table
	pages   map[string]table.Page
	expired []table.RetiredPage
}

// prepare returns the write that makes a draft the successor of a head, or nil
// when nothing has changed.
func prepare(base *table.Head, version string, d *Draft, id string, now time.Time) (*write, error) {
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
	w := &write{id: id, base: base.Version, version: version, head: &head, table: d.Table, pages: created}
	head.Retired, w.expired = retire(base, refs, now)
	return w, nil
}

// pageRefs names the pages of organisations. Pages that the base has keep their
// names; a page that had left the table gets a new one, since the old one may
// be removed at any time.
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

// retire returns the pages that no longer belong to the table: those to be kept
// for a time, and those to be removed once the write is accepted.
func retire(base *table.Head, refs []table.PageRef, now time.Time) (kept, expired []table.RetiredPage) {
	for _, r := range base.Retired {
		if now.Sub(time.UnixMilli(r.RetiredUnixMilli)) > pageGrace {
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
	over := max(0, len(kept)-maxRetired)
	return kept[over:], append(expired, kept[:over]...)
}
