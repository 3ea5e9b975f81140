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
	raw, err := json.Marshal(tableOf(n))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	small, err := compressed(raw)
	if err != nil {
		return nil, err
	}
	before := heap()
	var held table.Table
	if err := json.Unmarshal(raw, &held); err != nil {
		return nil, errors.WithStack(err)
	}
	index := table.NewIndex(&held)
	memory := heap() - before
	cost, err := changeCost(raw)
	if err != nil {
		return nil, err
	}
	checkCost := processorTime(func() { table.Check(&held) })
	runtime.KeepAlive(index)
	return []Figure{
		figureOf("table as JSON", "bytes", float64(len(raw))),
		figureOf("table compressed", "bytes", float64(small)),
		figureOf("table and index in memory", "bytes", float64(memory)),
		figureOf("taking a change at an entry", "processor ms", cost),
		figureOf("checking a change at one entry", "processor ms", checkCost),
	}, nil
}

// changeCost is the processor time in which an entry reads a changed table and
// builds its index.
func changeCost(raw []byte) (float64, error) {
	var err error
	cost := processorTime(func() {
		var t table.Table
		if e := json.Unmarshal(raw, &t); e != nil {
			err = e
		}
		table.NewIndex(&t)
	})
	return cost, errors.WithStack(err)
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
