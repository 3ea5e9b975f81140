package table

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Limits of a page in rows. A row takes at most 300 bytes as JSON, so that a page is
// smaller than a third of a megabyte.
const (
	minPageRows  = 64
	meanPageRows = 256
	maxPageRows  = 1024
)

// hashDigits is the length of a page's hash in hexadecimal digits.
const hashDigits = 32

// Page holds consecutive organisations of the table. A stored page is never modified.
type Page struct {
	Organisations []Organisation `json:"organisations"`
}

// PageRef refers to a page from a head.
type PageRef struct {
	// Name consists of the page's hash, a hyphen, and the ID of the write that
	// created the page.
	Name string `json:"name"`
	Rows int    `json:"rows"`
}

// Hash returns the hash of the page's content.
func (r PageRef) Hash() string {
	hash, _, _ := strings.Cut(r.Name, "-")
	return hash
}

// WriteRecord is the ID of the write that created a version.
type WriteRecord struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
}

// RetiredPage is a page that no longer belongs to the table. It is kept for some time
// for replicas that still fetch an earlier version.
type RetiredPage struct {
	Name             string `json:"name"`
	RetiredUnixMilli int64  `json:"retired_unix_milli"`
}

// Head is the table with references to pages in place of its organisations. The table
// changes only by a conditional update of its head, so that a change takes effect
// either completely or not at all.
type Head struct {
	Version        uint64          `json:"version"`
	Pages          []PageRef       `json:"pages"`
	Services       []Service       `json:"services"`
	FailureDomains []FailureDomain `json:"failure_domains"`
	Upstreams      []UpstreamMark  `json:"upstreams"`
	// Writes lists the latest writes, so that a writer can find out whether its own
	// took effect.
	Writes []WriteRecord `json:"writes"`
	// Settled lists the IDs of the latest provisional marks that were written into
	// the table.
	Settled []string `json:"settled,omitempty"`
	// Retired lists the pages that will be removed.
	Retired []RetiredPage `json:"retired,omitempty"`
}

// Marks returns the marks in the head.
func (h *Head) Marks() api.Marks {
	t := Table{Version: h.Version, FailureDomains: h.FailureDomains, Upstreams: h.Upstreams}
	m := t.Marks()
	m.Settled = h.Settled
	return m
}

// Hash returns the hash of a page's content.
func (p Page) Hash() (string, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return "", errors.WithStack(err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])[:hashDigits], nil
}

// SplitPages splits organisations into pages, in their order. Within the limits of a page,
// the hash of a row's name determines whether a page ends after it (content-defined
// chunking), so that an inserted or removed row changes only the pages near it.
func SplitPages(organisations []Organisation) []Page {
	var pages []Page
	start := 0
	for i := range organisations {
		rows := i + 1 - start
		if rows < maxPageRows && (rows < minPageRows || !endsPage(organisations[i].Name)) {
			continue
		}
		pages = append(pages, Page{Organisations: organisations[start : i+1]})
		start = i + 1
	}
	if start < len(organisations) {
		pages = append(pages, Page{Organisations: organisations[start:]})
	}
	return pages
}

// endsPage reports whether a page may end after a row. The mean distance of such rows is
// meanPageRows.
func endsPage(name string) bool { return xxhash.Sum64String(name)%meanPageRows == 0 }

// Assemble returns the table that consists of a head and its pages. page returns a page
// by its hash; Assemble returns false when one is missing.
func Assemble(h *Head, page func(hash string) (Page, bool)) (*Table, bool) {
	t := &Table{Version: h.Version, Services: h.Services, FailureDomains: h.FailureDomains, Upstreams: h.Upstreams}
	rows := 0
	for _, ref := range h.Pages {
		rows += ref.Rows
	}
	t.Organisations = make([]Organisation, 0, rows)
	for _, ref := range h.Pages {
		p, ok := page(ref.Hash())
		if !ok {
			return nil, false
		}
		t.Organisations = append(t.Organisations, p.Organisations...)
	}
	return t, true
}
