package tablestore

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

func organisations(n int) []table.Organisation {
	rows := make([]table.Organisation, n)
	for i := range rows {
		name := fmt.Sprintf("organisation-%05d", i)
		rows[i] = table.Organisation{Name: name, TokenHash: table.HashToken(name), Weight: 1 + i%5, Ceiling: 1000}
	}
	return rows
}

// change makes a change, which must be accepted.
func change(t *testing.T, s *Store, edit func(d *Draft)) *table.Table {
	t.Helper()
	accepted, err := s.Change(t.Context(), func(d *Draft) error {
		edit(d)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

// pull transfers the state of one store to another, and returns the number of bytes.
func pull(t *testing.T, from, to *Store) int {
	t.Helper()
	update, _ := from.updateFor(to.updateRequest(0))
	raw, err := json.Marshal(update)
	if err != nil {
		t.Fatal(err)
	}
	bytes := len(raw)
	to.MergeProvisional(update.Provisional)
	if update.Head == nil {
		return bytes
	}
	var mu sync.Mutex
	err = to.fetchAndApply(t.Context(), update.Head, func(_ context.Context, ref table.PageRef) (table.Page, error) {
		p, _ := from.page(ref.Hash())
		raw, err := json.Marshal(p)
		mu.Lock()
		defer mu.Unlock()
		bytes += len(raw)
		return p, err
	})
	if err != nil {
		t.Fatal(err)
	}
	return bytes
}

// TestOneRowChangeIsCheapInLargeTable limits the writes and bytes that one changed row takes
// in a table of the expected future size.
func TestOneRowChangeIsCheapInLargeTable(t *testing.T) {
	f := newFake()
	writer, replica := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout}), New(f, Config{Entry: "b", WatchTimeout: WatchTimeout})
	change(t, writer, func(d *Draft) { d.Organisations = organisations(38_000) })
	t.Logf("whole table: %d objects, %d bytes, largest %d", f.writes, f.bytes, f.largest)
	if f.largest >= objects.MaxValueBytes {
		t.Errorf("the largest object has %d bytes, want fewer than objects.MaxValueBytes", f.largest)
	}
	t.Logf("whole table to a replica: %d bytes", pull(t, writer, replica))

	writes, bytes := f.writes, f.bytes
	start := time.Now()
	change(t, writer, func(d *Draft) { d.Organisations[20_000].Weight = 9 })
	t.Logf("one row: %d writes, %d bytes, %s to write", f.writes-writes, f.bytes-bytes, time.Since(start))
	if got := f.writes - writes; got != 2 {
		t.Errorf("one changed row takes %d writes, want 2: its page and the head", got)
	}
	start = time.Now()
	transferred := pull(t, writer, replica)
	t.Logf("one row to a replica: %d bytes, %s to apply", transferred, time.Since(start))
	if limit := 300 << 10; transferred > limit {
		t.Errorf("one changed row takes %d bytes to a replica, want at most %d", transferred, limit)
	}
	if got := replica.Index().Table().Organisations[20_000].Weight; got != 9 {
		t.Errorf("the replica has weight %d, want 9", got)
	}
	pages := len(writer.replica.Head().Pages)
	change(t, writer, func(d *Draft) { d.Organisations = d.Organisations[1:] })
	if got := len(writer.replica.Head().Pages); got < pages-1 {
		t.Errorf("removing one row changed the number of pages from %d to %d", pages, got)
	}
	if got := f.writes - writes - 2; got > 3 {
		t.Errorf("removing one row takes %d writes, want at most 3", got)
	}
}

// TestConcurrentChangesAreAllApplied checks that writers that overtake each other lose no
// change.
func TestConcurrentChangesAreAllApplied(t *testing.T) {
	f := newFake()
	change(t, New(f, Config{Entry: "first", WatchTimeout: WatchTimeout}), func(d *Draft) { d.Organisations = organisations(1) })
	const writers, changes = 4, 5
	var group sync.WaitGroup
	for i := range writers {
		s := New(f, Config{Entry: fmt.Sprint("entry-", i), WatchTimeout: WatchTimeout})
		group.Go(func() {
			for range changes {
				change(t, s, func(d *Draft) { d.Organisations[0].Ceiling++ })
			}
		})
	}
	group.Wait()
	got := change(t, New(f, Config{Entry: "last", WatchTimeout: WatchTimeout}), func(*Draft) {})
	if want := 1000 + writers*changes; got.Organisations[0].Ceiling != want {
		t.Errorf("ceiling is %d after all changes, want %d", got.Organisations[0].Ceiling, want)
	}
}

// TestChangeDuringStoreFailures checks the outcome of a change when the response to its
// write is lost, when the store returns an older table, and when it is unreachable before
// or after the table was read.
func TestChangeDuringStoreFailures(t *testing.T) {
	synctest.Test(t, testChangeDuringStoreFailures)
}

func testChangeDuringStoreFailures(t *testing.T) {
	f := newFake()
	s := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout})
	change(t, s, func(d *Draft) { d.Organisations = organisations(1) })
	raiseWeight := func(d *Draft) error {
		d.Organisations[0].Weight++
		return nil
	}
	f.withLock(func() { f.loseResponses = true })
	if accepted, err := s.Change(t.Context(), raiseWeight); err != nil || accepted.Version != 2 {
		t.Errorf("write with a lost response: %v", err)
	}
	f.withLock(func() { f.loseResponses, f.stale = false, true })
	if _, err := s.Change(t.Context(), raiseWeight); !errors.Is(err, ErrNotWritten) {
		t.Errorf("change on a stale read: got %v, want ErrNotWritten", err)
	}
	f.withLock(func() { f.stale, f.down = false, true })
	if _, err := s.Change(t.Context(), raiseWeight); !errors.Is(err, ErrNotWritten) {
		t.Errorf("change with the store down: got %v, want ErrNotWritten", err)
	}
	if got := s.Index().Table(); got.Version != 2 {
		t.Errorf("current version is %d, want 2", got.Version)
	}
	f.withLock(func() { f.down = false })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	w, _, err := s.prepareWrite(ctx, raiseWeight)
	if err != nil {
		t.Fatal(err)
	}
	f.withLock(func() { f.down = true })
	if err := s.writeHead(ctx, w); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("write without a response: got %v, want ErrOutcomeUnknown", err)
	}
}

// TestRetiredPagesAreDeletedAfterRetention checks that a retired page is kept for replicas
// that still fetch it, and that a table with the same page again stores a new one, as the
// retired one may be deleted at any time.
func TestRetiredPagesAreDeletedAfterRetention(t *testing.T) {
	f := newFake()
	s := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout})
	change(t, s, func(d *Draft) { d.Organisations = organisations(1) })
	change(t, s, func(d *Draft) { d.Organisations[0].Weight = 7 })
	d := &Draft{Table: s.Index().Table().Clone()}
	d.Organisations[0].Weight = 1
	for after, want := range map[time.Duration]int{0: 0, pageRetention + time.Second: 1} {
		w, err := newWrite(s.replica.Head(), "2", d, "id", time.Now().Add(after))
		if err != nil {
			t.Fatal(err)
		}
		if len(w.expired) != want {
			t.Errorf("after %s, %d retired pages are deleted, want %d", after, len(w.expired), want)
		}
		if len(w.pages) != 1 {
			t.Error("a retired page was reused")
		}
	}
}

// TestSettledMarkIsNotReintroduced checks that a provisional mark is written into the table
// once, and that an entry that was cut off does not reintroduce it after the failure domain
// returned to service.
func TestSettledMarkIsNotReintroduced(t *testing.T) {
	f := newFake()
	a, b, cutOff := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout}), New(f, Config{Entry: "b", WatchTimeout: WatchTimeout}), New(f, Config{Entry: "c", WatchTimeout: WatchTimeout})
	change(t, a, func(d *Draft) { d.FailureDomains = []table.FailureDomain{{Name: "fd-a"}} })
	pull(t, a, b)
	pull(t, a, cutOff)
	f.withLock(func() { f.down = true })
	a.TakeOutOfService(api.ProvisionalMark{FailureDomain: "fd-a"})
	pull(t, a, b)
	pull(t, a, cutOff)
	if !b.Index().IsOutOfService("u", "fd-a") {
		t.Error("the mark did not reach another entry while the store was down")
	}
	f.withLock(func() { f.down = false })
	for _, s := range []*Store{b, a} {
		if _, err := s.SettleMarks(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got := a.Index().Table(); got.Version != 2 || !got.FailureDomains[0].OutOfService {
		t.Errorf("table after the mark was written: %+v", got)
	}
	_, err := a.ReturnToService(t.Context(), func(d *Draft) error {
		d.SetFailureDomainOut("fd-a", false)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	pull(t, cutOff, a)
	pull(t, a, cutOff)
	if a.Index().IsOutOfService("u", "fd-a") || cutOff.Index().IsOutOfService("u", "fd-a") {
		t.Error("an entry that was cut off reintroduced the mark")
	}
}

// TestCurrentBeforeFirstRead checks that an entry that has not read the table yet does not
// return an empty one.
func TestCurrentBeforeFirstRead(t *testing.T) {
	fake := newFake()
	if got, err := New(fake, Config{Entry: "fresh", WatchTimeout: WatchTimeout}).CurrentTable(t.Context()); err != nil || got.Version != 0 {
		t.Fatalf("without a stored table: got %v, %v, want version 0", got, err)
	}
	change(t, New(fake, Config{Entry: "writer", WatchTimeout: WatchTimeout}), func(d *Draft) {
		d.Organisations = organisations(1)
	})
	if _, err := New(fake, Config{Entry: "restarted", WatchTimeout: WatchTimeout}).CurrentTable(t.Context()); !errors.Is(err, ErrTableNotRead) {
		t.Errorf("stored table that has not been read: got %v, want ErrTableNotRead", err)
	}
	fake.withLock(func() { fake.down = true })
	if _, err := New(fake, Config{Entry: "restarted", WatchTimeout: WatchTimeout}).CurrentTable(t.Context()); !errors.Is(err, objects.ErrUnavailable) {
		t.Errorf("store down: got %v, want ErrUnavailable", err)
	}
}
