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

// change must be accepted.
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

// pull brings what one store holds to another, and returns the bytes of it.
func pull(t *testing.T, from, to *Store) int {
	t.Helper()
	news, _ := from.news(to.ask(0))
	raw, err := json.Marshal(news)
	if err != nil {
		t.Fatal(err)
	}
	bytes := len(raw)
	to.MergeProvisional(news.Provisional)
	if news.Head == nil {
		return bytes
	}
	var mu sync.Mutex
	err = to.take(t.Context(), news.Head, func(_ context.Context, ref table.PageRef) (table.Page, error) {
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

// TestOneRowOfManyOrganisations bounds what one changed row costs at the size of
// tomorrow.
func TestOneRowOfManyOrganisations(t *testing.T) {
	f := newFake()
	writer, holder := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout}), New(f, Config{Entry: "b", WatchTimeout: WatchTimeout})
	change(t, writer, func(d *Draft) { d.Organisations = organisations(38_000) })
	t.Logf("whole table: %d objects, %d bytes, largest %d", f.writes, f.bytes, f.largest)
	if f.largest >= objects.MaxValueBytes {
		t.Errorf("an object has %d bytes", f.largest)
	}
	t.Logf("whole table to a holder: %d bytes", pull(t, writer, holder))

	writes, bytes := f.writes, f.bytes
	start := time.Now()
	change(t, writer, func(d *Draft) { d.Organisations[20_000].Weight = 9 })
	t.Logf("one row: %d writes, %d bytes, %s to write", f.writes-writes, f.bytes-bytes, time.Since(start))
	if got := f.writes - writes; got != 2 {
		t.Errorf("one changed row takes %d writes; want its page and the head", got)
	}
	start = time.Now()
	travelled := pull(t, writer, holder)
	t.Logf("one row to a holder: %d bytes, %s to apply", travelled, time.Since(start))
	if limit := 300 << 10; travelled > limit {
		t.Errorf("one changed row takes %d bytes to a holder; want at most %d", travelled, limit)
	}
	if got := holder.Index().Table().Organisations[20_000].Weight; got != 9 {
		t.Errorf("the holder has weight %d", got)
	}
	pages := len(writer.holder.Head().Pages)
	change(t, writer, func(d *Draft) { d.Organisations = d.Organisations[1:] })
	if got := len(writer.holder.Head().Pages); got < pages-1 {
		t.Errorf("%d pages became %d by removing one row", pages, got)
	}
	if got := f.writes - writes - 2; got > 3 {
		t.Errorf("removing one row takes %d writes", got)
	}
}

func TestRacingWritersLoseNothing(t *testing.T) {
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
		t.Errorf("ceiling is %d after all writes; want %d", got.Organisations[0].Ceiling, want)
	}
}

func TestFailuresOfThePlatform(t *testing.T) {
	synctest.Test(t, testFailuresOfThePlatform)
}

func testFailuresOfThePlatform(t *testing.T) {
	f := newFake()
	s := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout})
	change(t, s, func(d *Draft) { d.Organisations = organisations(1) })
	raise := func(d *Draft) error {
		d.Organisations[0].Weight++
		return nil
	}
	f.set(func() { f.lost = true })
	if accepted, err := s.Change(t.Context(), raise); err != nil || accepted.Version != 2 {
		t.Errorf("write with a lost answer: %v", err)
	}
	f.set(func() { f.lost, f.stale = false, true })
	if _, err := s.Change(t.Context(), raise); !errors.Is(err, ErrNotWritten) {
		t.Errorf("change on a stale read: %v", err)
	}
	f.set(func() { f.stale, f.down = false, true })
	if _, err := s.Change(t.Context(), raise); !errors.Is(err, ErrNotWritten) {
		t.Errorf("change with the store down: %v", err)
	}
	if got := s.Index().Table(); got.Version != 2 {
		t.Errorf("version %d is in force; want 2", got.Version)
	}
	f.set(func() { f.down = false })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	w, _, err := s.draft(ctx, raise)
	if err != nil {
		t.Fatal(err)
	}
	f.set(func() { f.down = true })
	if err := s.writeHead(ctx, w); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("write whose answer never came: %v", err)
	}
}

func TestRetiredPagesAreRemovedAfterTheirTime(t *testing.T) {
	f := newFake()
	s := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout})
	change(t, s, func(d *Draft) { d.Organisations = organisations(1) })
	change(t, s, func(d *Draft) { d.Organisations[0].Weight = 7 })
	d := &Draft{Table: s.Index().Table().Clone()}
	d.Organisations[0].Weight = 1
	for after, want := range map[time.Duration]int{0: 0, pageGrace + time.Second: 1} {
		w, err := prepare(s.holder.Head(), "2", d, "id", time.Now().Add(after))
		if err != nil {
			t.Fatal(err)
		}
		if len(w.expired) != want {
			t.Errorf("%s later %d pages are removed; want %d", after, len(w.expired), want)
		}
		if len(w.pages) != 1 {
			t.Error("a page that had left the table was used again")
		}
	}
}

func TestProvisionalOutIsWrittenOnceAndNeverComesBack(t *testing.T) {
	f := newFake()
	a, b, cutOff := New(f, Config{Entry: "a", WatchTimeout: WatchTimeout}), New(f, Config{Entry: "b", WatchTimeout: WatchTimeout}), New(f, Config{Entry: "c", WatchTimeout: WatchTimeout})
	change(t, a, func(d *Draft) { d.FailureDomains = []table.FailureDomain{{Name: "fd-a"}} })
	pull(t, a, b)
	pull(t, a, cutOff)
	f.set(func() { f.down = true })
	a.TakeOutOfService(api.ProvisionalMark{FailureDomain: "fd-a"})
	pull(t, a, b)
	pull(t, a, cutOff)
	if !b.Index().IsOutOfService("u", "fd-a") {
		t.Error("the mark did not reach another entry while the store was down")
	}
	f.set(func() { f.down = false })
	for _, s := range []*Store{b, a} {
		if _, err := s.SettleMarks(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got := a.Index().Table(); got.Version != 2 || !got.FailureDomains[0].OutOfService {
		t.Errorf("the mark was written as %+v", got)
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
		t.Error("an entry that was cut off brought the mark back")
	}
}

// TestCurrentBeforeTheFirstRead checks that an entry that has read no table yet
// doesn't take that for an empty one.
func TestCurrentBeforeTheFirstRead(t *testing.T) {
	fake := newFake()
	if got, err := New(fake, Config{Entry: "fresh", WatchTimeout: WatchTimeout}).Current(t.Context()); err != nil || got.Version != 0 {
		t.Fatalf("no table: got %v, %v", got, err)
	}
	change(t, New(fake, Config{Entry: "writer", WatchTimeout: WatchTimeout}), func(d *Draft) {
		d.Organisations = organisations(1)
	})
	if _, err := New(fake, Config{Entry: "restarted", WatchTimeout: WatchTimeout}).Current(t.Context()); !errors.Is(err, ErrNotRead) {
		t.Errorf("a table that is not read: %v", err)
	}
	fake.set(func() { fake.down = true })
	if _, err := New(fake, Config{Entry: "restarted", WatchTimeout: WatchTimeout}).Current(t.Context()); !errors.Is(err, objects.ErrUnavailable) {
		t.Errorf("no answer: %v", err)
	}
}
