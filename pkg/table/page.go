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

// Bounds of a page in rows. A row takes at most 300 bytes as JSON, so that a
// page stays under a third of a megabyte.
const (
	minPageRows  = 64
	meanPageRows = 256
	maxPageRows  = 1024
)

// hashLength is the length of a page's hash in hexadecimal digits.
const hashLength = 32

// Page is some of the table's organisations. It never changes.
type Page struct {
	Organisations []Organisation `json:"organisations"`
}

// PageRef names a page in a head.
type PageRef struct {
	// Name is the page's hash, a hyphen, and the write that created it.
	Name string `json:"name"`
	Rows int    `json:"rows"`
}

// Hash returns the hash of the page's content.
func (r PageRef) Hash() string {
	hash, _, _ := strings.Cut(r.Name, "-")
	return hash
}

// WriteRecord says which write made a version.
type WriteRecord struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
}

// RetiredPage is a page that no longer belongs to the table. It is kept for a
// time for holders that still read an earlier version.
type RetiredPage struct {
	Name             string `json:"name"`
	RetiredUnixMilli int64  `json:"retired_unix_milli"`
}

// Head is the whole table but for its organisations, which it names as pages.
// The table changes only by the conditional update of its head, so a version is
// taken whole or not at all.
type Head struct {
	Version        uint64          `json:"version"`
	Pages          []PageRef       `json:"pages"`
	Services       []Service       `json:"services"`
	FailureDomains []FailureDomain `json:"failure_domains"`
	Upstreams      []UpstreamMark  `json:"upstreams"`
	// Writes is the newest writes, by which a writer recognises its own.
	Writes []WriteRecord `json:"writes"`
	// Settled is the newest provisional marks that were written into the table.
	Settled []string `json:"settled,omitempty"`
	// Retired is the pages that are to be removed.
	Retired []RetiredPage `json:"retired,omitempty"`
}

// Marks returns the marks of the head's version.
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
	return hex.EncodeToString(sum[:])[:hashLength], nil
}

// SplitPages splits organisations into pages, in their order. A page ends after
// a row whose name says so, so that an inserted or removed row changes the pages
// near it and no others.
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

func endsPage(name string) bool { return xxhash.Sum64String(name)%meanPageRows == 0 }

// Assemble returns the table that a head and its pages make. page returns a page by
// its hash; Assemble reports false when one is missing.
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
