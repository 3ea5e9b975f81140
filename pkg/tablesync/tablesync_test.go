package tablesync

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// schedules is how many random schedules each property runs.
const schedules = 2_000

// world is a stored table, the heads that it ever had, and holders that hear of
// them over a network that loses, delays, duplicates and reorders.
type world struct {
	rand    *rand.Rand
	history []*table.Head
	pages   map[string]table.Page
	holders []*Replica
	network []message
}

type message struct {
	to   int
	head *table.Head
}

func newWorld(seed uint64, holders int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 0)), history: []*table.Head{{}}, pages: make(map[string]table.Page)}
	for range holders {
		w.holders = append(w.holders, &Replica{})
	}
	return w
}

func (w *world) newest() *table.Head { return w.history[len(w.history)-1] }

// write makes a conditional write on the head that was read, perhaps a stale
// one. Its answer is lost and other writes come after it; the verdict must then
// be the truth.
func (w *world) write(step int) error {
	base := w.history[max(0, len(w.history)-1-w.rand.IntN(2))]
	id := fmt.Sprint("write-", step)
	accepted := base == w.newest() && w.rand.IntN(4) > 0
	if accepted {
		w.history = append(w.history, w.draft(base, id))
	}
	for i := range w.rand.IntN(3) {
		w.history = append(w.history, w.draft(w.newest(), fmt.Sprint("other-", step, "-", i)))
	}
	read := w.history[max(0, len(w.history)-1-w.rand.IntN(2))]
	verdict := ResolveWrite(read, base.Version, id)
	if verdict == WriteAccepted && !accepted || verdict == WriteConflict && accepted || verdict == WriteUnknown {
		return fmt.Errorf("verdict %d on a write that was accepted: %t", verdict, accepted)
	}
	return nil
}

// draft returns a successor of a head.
func (w *world) draft(base *table.Head, id string) *table.Head {
	head := &table.Head{Version: base.Version + 1, Writes: AppendWriteRecord(base.Writes, table.WriteRecord{Version: base.Version + 1, ID: id})}
	for _, p := range table.SplitPages(w.rows()) {
		hash, err := p.Hash()
		if err != nil {
			panic(err)
		}
		w.pages[hash] = p
		head.Pages = append(head.Pages, table.PageRef{Name: hash + "-" + id, Rows: len(p.Organisations)})
	}
	return head
}

func (w *world) rows() []table.Organisation {
	rows := make([]table.Organisation, w.rand.IntN(4*minRowsInTest))
	for i := range rows {
		rows[i] = table.Organisation{Name: fmt.Sprintf("o-%d", i), Weight: 1 + w.rand.IntN(2)}
	}
	return rows
}

// minRowsInTest makes tables of one to a few pages.
const minRowsInTest = 40

// deliver gives a holder one of the messages on their way, with all or some of
// the pages that it lacks.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.rand.IntN(len(w.network))
	m := w.network[i]
	if w.rand.IntN(3) > 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	w.take(m, w.rand.IntN(4) == 0)
}

func (w *world) take(m message, lossy bool) {
	h := w.holders[m.to]
	var fetched []table.Page
	for _, ref := range h.Missing(m.head) {
		if !lossy || w.rand.IntN(2) > 0 {
			fetched = append(fetched, w.pages[ref.Hash()])
		}
	}
	_ = h.Apply(m.head, fetched)
}

func (w *world) step(i int) error {
	switch w.rand.IntN(6) {
	case 0:
		return w.write(i)
	case 1:
		w.holders[w.rand.IntN(len(w.holders))] = &Replica{}
	case 2, 3:
		source := w.history
		if from := w.holders[w.rand.IntN(len(w.holders))]; w.rand.IntN(2) == 0 {
			source = []*table.Head{from.Head()}
		}
		w.network = append(w.network, message{to: w.rand.IntN(len(w.holders)), head: source[w.rand.IntN(len(source))]})
	default:
		w.deliver()
	}
	return nil
}

// check compares every holder with the accepted table of its version.
func (w *world) check(before []*Replica, versions []uint64) error {
	for i, h := range w.holders {
		if h == before[i] && h.Head().Version < versions[i] {
			return fmt.Errorf("holder %d went from version %d to %d", i, versions[i], h.Head().Version)
		}
		if h.Table() == nil {
			continue
		}
		want, _ := table.Assemble(w.history[h.Head().Version], func(hash string) (table.Page, bool) { return w.pages[hash], true })
		if !reflect.DeepEqual(h.Table(), want) {
			return fmt.Errorf("holder %d has another table than was accepted as version %d", i, want.Version)
		}
	}
	return nil
}

func run(seed uint64) error {
	w := newWorld(seed, 4)
	for i := range 60 {
		before, versions := slices.Clone(w.holders), make([]uint64, len(w.holders))
		for j, h := range w.holders {
			versions[j] = h.Head().Version
		}
		if err := w.step(i); err != nil {
			return err
		}
		if err := w.check(before, versions); err != nil {
			return err
		}
	}
	for i, h := range w.holders {
		w.take(message{to: i, head: w.newest()}, false)
		if h.Head().Version != w.newest().Version {
			return fmt.Errorf("holder %d has version %d of %d after the network healed", i, h.Head().Version, w.newest().Version)
		}
	}
	return nil
}

func TestVersionsOnlyGoUp(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = schedules
	properties := gopter.NewProperties(parameters)
	properties.Property("holders take accepted tables whole, and never an older one", prop.ForAll(func(seed uint64) string {
		if err := run(seed); err != nil {
			return err.Error()
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestNeighboursReachEveryEntry(t *testing.T) {
	for _, n := range []int{1, 2, 4, 6, 7, 100, 330, 1024} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("entry-%04d", i)
		}
		asks := make(map[string][]string, n)
		for _, name := range names {
			asks[name] = Neighbours(name, names)
		}
		reached, hops := map[string]bool{names[0]: true}, 0
		for ; len(reached) < n && hops < n; hops++ {
			before := maps.Clone(reached)
			for _, name := range names {
				reached[name] = before[name] || slices.ContainsFunc(asks[name], func(peer string) bool { return before[peer] })
			}
			maps.DeleteFunc(reached, func(_ string, ok bool) bool { return !ok })
		}
		if got := len(asks[names[0]]); got > maxNeighbours || hops > 15 {
			t.Errorf("%d entries: %d neighbours, %d hops", n, got, hops)
		}
	}
}
