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

// organisationsSlope measures the size of the table and the cost of its changes at
// an entry.
var organisationsSlope = Slope{
	Name:    "organisations",
	Summary: "size of the table, memory of its index, and processor time of one change, by organisations",
	Unit:    "organisations",
	sizes:   []int{100, 1000, 10000, 38000},
	measure: measureOrganisations,
}

func newTable(n int) *table.Table {
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
	t := newTable(n)
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	compressedBytes, err := compressedSize(raw)
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	replica := &tablesync.Replica{}
	if _, err := applyTable(replica, raw, 1); err != nil {
		return nil, err
	}
	index := table.NewIndex(replica.Table())
	memory := heapBytes() - before
	runtime.KeepAlive(raw)
	change, err := changeOneRow(replica, t)
	if err != nil {
		return nil, err
	}
	checkMillis := meanProcessorMillis(func() { table.Check(t) })
	runtime.KeepAlive(index)
	return []Figure{
		newFigure("table as JSON", "bytes", float64(len(raw))),
		newFigure("table compressed", "bytes", float64(compressedBytes)),
		newFigure("table, pages and index in memory", "bytes", float64(memory)),
		newFigure("head", "bytes", change.headBytes),
		newFigure("pages of a change of one row", "bytes", change.pageBytes),
		newFigure("taking a change at an entry", "processor ms", change.processorMillis),
		newFigure("checking a change at one entry", "processor ms", checkMillis),
	}, nil
}

// applyTable decodes a table from JSON, applies it in pages to a replica and returns
// its head.
func applyTable(replica *tablesync.Replica, raw []byte, version uint64) (*table.Head, error) {
	var t table.Table
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, errors.WithStack(err)
	}
	pages := table.SplitPages(t.Organisations)
	head, err := newHead(&t, pages, version)
	if err != nil {
		return nil, err
	}
	return head, replica.Apply(head, pages)
}

func newHead(t *table.Table, pages []table.Page, version uint64) (*table.Head, error) {
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

// changeCost is the mean cost of a change of one row at an entry that applies it.
type changeCost struct {
	headBytes, pageBytes, processorMillis float64
}

// changeOneRow changes single rows one after the other. It measures the bytes that
// are sent, and the processor time in which an entry decodes and applies the new
// pages and builds its index.
func changeOneRow(replica *tablesync.Replica, t *table.Table) (changeCost, error) {
	var c changeCost
	for i := range repetitions {
		t.Organisations[i*len(t.Organisations)/repetitions].Weight += 100
		head, err := newHead(t, table.SplitPages(t.Organisations), uint64(i+2))
		if err != nil {
			return c, err
		}
		rawHead, rawPages, err := encodeUpdate(replica, head, t)
		if err != nil {
			return c, err
		}
		c.headBytes += float64(len(rawHead)) / repetitions
		for _, p := range rawPages {
			c.pageBytes += float64(len(p)) / repetitions
		}
		begin := ownProcessorTime()
		if err := applyUpdate(replica, rawHead, rawPages); err != nil {
			return c, err
		}
		c.processorMillis += float64((ownProcessorTime() - begin).Microseconds()) / 1000 / repetitions
	}
	return c, nil
}

// encodeUpdate returns the JSON of a head and of those of its pages that a replica
// lacks.
func encodeUpdate(replica *tablesync.Replica, head *table.Head, t *table.Table) (rawHead []byte, rawPages [][]byte, err error) {
	missing := make(map[string]bool)
	for _, ref := range replica.Missing(head) {
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

// applyUpdate decodes and applies a new head and its pages, and builds an index, as
// an entry does.
func applyUpdate(replica *tablesync.Replica, rawHead []byte, rawPages [][]byte) error {
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
	if err := replica.Apply(&head, pages); err != nil {
		return err
	}
	table.NewIndex(replica.Table())
	return nil
}

func compressedSize(raw []byte) (int, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(raw); err != nil {
		return 0, errors.WithStack(err)
	}
	err := w.Close()
	return out.Len(), errors.WithStack(err)
}

// heapBytes returns the bytes of allocated heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// repetitions is the number of runs over which a cost is averaged.
const repetitions = 5

// meanProcessorMillis runs a function repeatedly and returns its mean processor time
// in milliseconds.
func meanProcessorMillis(fn func()) float64 {
	begin := ownProcessorTime()
	for range repetitions {
		fn()
	}
	return float64((ownProcessorTime() - begin).Microseconds()) / 1000 / repetitions
}

// ownProcessorTime returns the processor time of this process.
func ownProcessorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
