package slope

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// organisations measures what the table costs an entry.
var organisations = Slope{
	Name:    "organisations",
	Summary: "size of the table, memory of its index, and processor time of one change, by organisations",
	Unit:    "organisations",
	sizes:   []int{100, 1000, 10000, 38000},
	measure: measureOrganisations,
}

func tableOf(n int) *table.Table {
	t := &table.Table{Services: []table.Service{{Name: "draft", Kind: table.KindModel}}}
	for i := range n {
		t.Organisations = append(t.Organisations, table.Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), TokenHash: table.HashToken(fmt.Sprint(i)),
			Weight: 1 + i%7, Ceiling: 100 * (i % 11),
		})
	}
	return t
}

func measureOrganisations(_ context.Context, _ *Command, n int) ([]Figure, error) {
	t := tableOf(n)
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	small, err := compressed(raw)
	if err != nil {
		return nil, err
	}
	before := heap()
	holder := &tablesync.Replica{}
	if _, err := takeVersion(holder, raw, 1); err != nil {
		return nil, err
	}
	index := table.NewIndex(holder.Table())
	memory := heap() - before
	runtime.KeepAlive(raw)
	change, err := changeOneRow(holder, t)
	if err != nil {
		return nil, err
	}
	checkCost := processorTime(func() { table.Check(t) })
	runtime.KeepAlive(index)
	return []Figure{
		figureOf("table as JSON", "bytes", float64(len(raw))),
		figureOf("table compressed", "bytes", float64(small)),
		figureOf("table, pages and index in memory", "bytes", float64(memory)),
		figureOf("head", "bytes", change.head),
		figureOf("pages of a change of one row", "bytes", change.pages),
		figureOf("taking a change at an entry", "processor ms", change.processor),
		figureOf("checking a change at one entry", "processor ms", checkCost),
	}, nil
}

// takeVersion makes a holder take the table that JSON holds, in pages. It
// returns the new head.
func takeVersion(h *tablesync.Replica, raw []byte, version uint64) (*table.Head, error) {
	var t table.Table
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, errors.WithStack(err)
	}
	pages := table.SplitPages(t.Organisations)
	head, err := headOf(&t, pages, version)
	if err != nil {
		return nil, err
	}
	return head, h.Apply(head, pages)
}

func headOf(t *table.Table, pages []table.Page, version uint64) (*table.Head, error) {
	head := &table.Head{Version: version, Services: t.Services}
	for _, p := range pages {
		hash, err := p.Hash()
		if err != nil {
			return nil, err
		}
		head.Pages = append(head.Pages, table.PageRef{Name: fmt.Sprintf("%s-%d", hash, version), Rows: len(p.Organisations)})
	}
	return head, nil
}

// change is what a change of one row costs an entry that takes it.
type change struct {
	head, pages, processor float64
}

// changeOneRow changes rows one after the other, and measures what is sent and
// how long an entry takes to read the new pages and build its index.
func changeOneRow(h *tablesync.Replica, t *table.Table) (change, error) {
	var c change
	for i := range repeats {
		t.Organisations[i*len(t.Organisations)/repeats].Weight += 100
		head, err := headOf(t, table.SplitPages(t.Organisations), uint64(i+2))
		if err != nil {
			return c, err
		}
		rawHead, rawPages, err := encode(h, head, t)
		if err != nil {
			return c, err
		}
		c.head += float64(len(rawHead)) / repeats
		for _, p := range rawPages {
			c.pages += float64(len(p)) / repeats
		}
		begin := ownProcessor()
		if err := takeEncoded(h, rawHead, rawPages); err != nil {
			return c, err
		}
		c.processor += float64((ownProcessor() - begin).Microseconds()) / 1000 / repeats
	}
	return c, nil
}

// encode returns the JSON of a head and of the pages of it that a holder lacks.
func encode(h *tablesync.Replica, head *table.Head, t *table.Table) (rawHead []byte, rawPages [][]byte, err error) {
	missing := make(map[string]bool)
	for _, ref := range h.Missing(head) {
		missing[ref.Hash()] = true
	}
	for i, p := range table.SplitPages(t.Organisations) {
		if !missing[head.Pages[i].Hash()] {
			continue
		}
		raw, err := json.Marshal(p)
		if err != nil {
			return nil, nil, errors.WithStack(err)
		}
		rawPages = append(rawPages, raw)
	}
	rawHead, err = json.Marshal(head)
	return rawHead, rawPages, errors.WithStack(err)
}

// takeEncoded does what an entry does with a new head and its pages.
func takeEncoded(h *tablesync.Replica, rawHead []byte, rawPages [][]byte) error {
	var head table.Head
	if err := json.Unmarshal(rawHead, &head); err != nil {
		return errors.WithStack(err)
	}
	pages := make([]table.Page, len(rawPages))
	for i, raw := range rawPages {
		if err := json.Unmarshal(raw, &pages[i]); err != nil {
			return errors.WithStack(err)
		}
	}
	if err := h.Apply(&head, pages); err != nil {
		return err
	}
	table.NewIndex(h.Table())
	return nil
}

func compressed(raw []byte) (int, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(raw); err != nil {
		return 0, errors.WithStack(err)
	}
	err := w.Close()
	return out.Len(), errors.WithStack(err)
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// repeats is how often a function is run for its processor time.
const repeats = 5

// processorTime returns the mean processor time of a function in milliseconds.
func processorTime(fn func()) float64 {
	begin := ownProcessor()
	for range repeats {
		fn()
	}
	return float64((ownProcessor() - begin).Microseconds()) / 1000 / repeats
}

// ownProcessor returns the processor time of this process.
func ownProcessor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
