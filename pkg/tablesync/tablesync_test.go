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

// schedules is the number of random schedules that each property runs.
const schedules = 2_000

// simulation has a stored table with all its past heads, and replicas that receive
// heads over a network that loses, delays, duplicates and reorders messages.
type simulation struct {
	rand     *rand.Rand
	history  []*table.Head
	pages    map[string]table.Page
	replicas []*Replica
	network  []message
}

type message struct {
	to   int
	head *table.Head
}

func newSimulation(seed uint64, replicas int) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 0)), history: []*table.Head{{}}, pages: make(map[string]table.Page)}
	for range replicas {
		s.replicas = append(s.replicas, &Replica{})
	}
	return s
}

func (s *simulation) newest() *table.Head { return s.history[len(s.history)-1] }

// write makes a conditional write on a head that may be out of date. Its response is
// lost and other writes follow; ResolveWrite must then return the real outcome.
func (s *simulation) write(step int) error {
	base := s.history[max(0, len(s.history)-1-s.rand.IntN(2))]
	id := fmt.Sprint("write-", step)
	accepted := base == s.newest() && s.rand.IntN(4) > 0
	if accepted {
		s.history = append(s.history, s.draft(base, id))
	}
	for i := range s.rand.IntN(3) {
		s.history = append(s.history, s.draft(s.newest(), fmt.Sprint("other-", step, "-", i)))
	}
	read := s.history[max(0, len(s.history)-1-s.rand.IntN(2))]
	outcome := ResolveWrite(read, base.Version, id)
	if outcome == WriteAccepted && !accepted || outcome == WriteConflict && accepted || outcome == WriteUnknown {
		return fmt.Errorf("write resolved to outcome %d; accepted: %t", outcome, accepted)
	}
	return nil
}

// draft returns a new head that follows a base.
func (s *simulation) draft(base *table.Head, id string) *table.Head {
	head := &table.Head{Version: base.Version + 1, Writes: AppendWriteRecord(base.Writes, table.WriteRecord{Version: base.Version + 1, ID: id})}
	for _, p := range table.SplitPages(s.rows()) {
		hash, err := p.Hash()
		if err != nil {
			panic(err)
		}
		s.pages[hash] = p
		head.Pages = append(head.Pages, table.PageRef{Name: hash + "-" + id, Rows: len(p.Organisations)})
	}
	return head
}

func (s *simulation) rows() []table.Organisation {
	rows := make([]table.Organisation, s.rand.IntN(4*rowUnit))
	for i := range rows {
		rows[i] = table.Organisation{Name: fmt.Sprintf("o-%d", i), Weight: 1 + s.rand.IntN(2)}
	}
	return rows
}

// rowUnit is a quarter of the largest number of rows, for tables of one to a few
// pages.
const rowUnit = 40

// deliver delivers one of the messages in transit to its replica, with all or some of
// the pages that the replica is missing.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.rand.IntN(len(s.network))
	m := s.network[i]
	if s.rand.IntN(3) > 0 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	s.apply(m, s.rand.IntN(4) == 0)
}

func (s *simulation) apply(m message, lossy bool) {
	r := s.replicas[m.to]
	var fetched []table.Page
	for _, ref := range r.Missing(m.head) {
		if !lossy || s.rand.IntN(2) > 0 {
			fetched = append(fetched, s.pages[ref.Hash()])
		}
	}
	_ = r.Apply(m.head, fetched)
}

func (s *simulation) step(i int) error {
	switch s.rand.IntN(6) {
	case 0:
		return s.write(i)
	case 1:
		s.replicas[s.rand.IntN(len(s.replicas))] = &Replica{}
	case 2, 3:
		source := s.history
		if from := s.replicas[s.rand.IntN(len(s.replicas))]; s.rand.IntN(2) == 0 {
			source = []*table.Head{from.Head()}
		}
		s.network = append(s.network, message{to: s.rand.IntN(len(s.replicas)), head: source[s.rand.IntN(len(source))]})
	default:
		s.deliver()
	}
	return nil
}

// check compares every replica with the accepted table of its version.
func (s *simulation) check(before []*Replica, versions []uint64) error {
	for i, r := range s.replicas {
		if r == before[i] && r.Head().Version < versions[i] {
			return fmt.Errorf("replica %d went back from version %d to %d", i, versions[i], r.Head().Version)
		}
		if r.Table() == nil {
			continue
		}
		want, _ := table.Assemble(s.history[r.Head().Version], func(hash string) (table.Page, bool) { return s.pages[hash], true })
		if !reflect.DeepEqual(r.Table(), want) {
			return fmt.Errorf("replica %d has a different table than was accepted as version %d", i, want.Version)
		}
	}
	return nil
}

func run(seed uint64) error {
	s := newSimulation(seed, 4)
	for i := range 60 {
		before, versions := slices.Clone(s.replicas), make([]uint64, len(s.replicas))
		for j, r := range s.replicas {
			versions[j] = r.Head().Version
		}
		if err := s.step(i); err != nil {
			return err
		}
		if err := s.check(before, versions); err != nil {
			return err
		}
	}
	for i, r := range s.replicas {
		s.apply(message{to: i, head: s.newest()}, false)
		if r.Head().Version != s.newest().Version {
			return fmt.Errorf("replica %d has version %d after the network healed, want %d", i, r.Head().Version, s.newest().Version)
		}
	}
	return nil
}

func TestReplicaVersionsOnlyIncrease(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = schedules
	properties := gopter.NewProperties(parameters)
	properties.Property("replicas apply only whole accepted tables, and never an older one", prop.ForAll(func(seed uint64) string {
		if err := run(seed); err != nil {
			return err.Error()
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestNeighboursReachEveryEntry checks that an update at one entry reaches all others
// over at most 15 hops, with at most maxNeighbours neighbours of each.
func TestNeighboursReachEveryEntry(t *testing.T) {
	for _, n := range []int{1, 2, 4, 6, 7, 100, 330, 1024} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("entry-%04d", i)
		}
		neighbours := make(map[string][]string, n)
		for _, name := range names {
			neighbours[name] = Neighbours(name, names)
		}
		reached, hops := map[string]bool{names[0]: true}, 0
		for ; len(reached) < n && hops < n; hops++ {
			before := maps.Clone(reached)
			for _, name := range names {
				reached[name] = before[name] || slices.ContainsFunc(neighbours[name], func(peer string) bool { return before[peer] })
			}
			maps.DeleteFunc(reached, func(_ string, ok bool) bool { return !ok })
		}
		if got := len(neighbours[names[0]]); got > maxNeighbours || hops > 15 {
			t.Errorf("%d entries: %d neighbours and %d hops, want at most 5 and 15", n, got, hops)
		}
	}
}
