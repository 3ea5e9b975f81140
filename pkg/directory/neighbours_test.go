package directory

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/clock"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// neighboursOf returns the neighbours of an entry, with an answer of each.
func neighboursOf(d *Directory, answers map[string]func() (Knowledge, error)) *Neighbours {
	list := []hosts.Host{{Name: "own", Role: hosts.RoleEntry, Address: "own"}}
	for name := range answers {
		list = append(list, hosts.Host{Name: name, Role: hosts.RoleEntry, Address: name})
	}
	return &Neighbours{
		Directory: d, Entry: "own", Hosts: func() []hosts.Host { return list },
		Ask: func(_ context.Context, address string) (Knowledge, error) { return answers[address]() },
	}
}

func answer(k Knowledge) func() (Knowledge, error) {
	return func() (Knowledge, error) { return k, nil }
}

func noAnswer() (Knowledge, error) { return Knowledge{}, errors.New("unreachable") }

// TestStartingEntryServesNothingOlderThanItsNeighbours guards against an entry that starts
// after the store has come back from a copy, and serves by a configuration and without an
// evacuation that its neighbours know to be replaced.
func TestStartingEntryServesNothingOlderThanItsNeighbours(t *testing.T) {
	d := New()
	d.AwaitNeighbours()
	d.SetEvacuated(nil)
	d.SetPlatformTable(platformTable(4), StoredVersion{Era: 2}, clock.BootNow())
	if ix, _ := d.Index(); ix != nil {
		t.Fatal("there is a table before the neighbours were asked")
	}
	d.SetPlatformTable(platformTable(4), StoredVersion{Era: 2}, clock.BootNow()-clock.BootTime(time.Minute))
	n := neighboursOf(d, map[string]func() (Knowledge, error){
		"a": noAnswer, "b": answer(Knowledge{Version: 5, Evacuated: []string{"north"}, RestoredMillis: 200}),
	})
	confirmed := clock.BootNow()
	n.Run(t.Context())
	d.Confirm(StoredVersion{Era: 2, Version: 4}, clock.BootNow())
	if _, age := d.Index(); clock.BootNow()-clock.BootTime(age) > confirmed {
		t.Error("the older configuration is confirmed although a neighbour knows a newer one")
	}
	d.SetPlatformTable(platformTable(5), StoredVersion{Era: 2, Version: 5, Written: true}, clock.BootNow())
	ix, _ := d.Index()
	if ix == nil || ix.Table().Version != 5 {
		t.Fatal("the newer configuration does not apply")
	}
	if !ix.IsOutOfService("u", "north") {
		t.Error("the evacuation that a neighbour knows does not apply")
	}
	if k := d.Knowledge(); k.Version != 5 {
		t.Errorf("the entry tells others %+v", k)
	}
}

// TestNeighboursDelayNoStart checks that an entry waits no longer than it must: not at all
// if its neighbours have just started as well, and a limited time if none answers.
func TestNeighboursDelayNoStart(t *testing.T) {
	late := func() (Knowledge, error) {
		time.Sleep(askTimeout)
		return Knowledge{}, errors.New("timeout")
	}
	for name, answers := range map[string]map[string]func() (Knowledge, error){
		"all have just started":         {"a": answer(Knowledge{}), "b": answer(Knowledge{})},
		"one knows, one is unreachable": {"a": late, "b": answer(Knowledge{Version: 4})},
		"none answers":                  {"a": noAnswer},
	} {
		d := New()
		d.AwaitNeighbours()
		d.SetEvacuated(nil)
		d.SetPlatformTable(platformTable(4), StoredVersion{}, clock.BootNow())
		begin, took := time.Now(), time.Duration(0)
		d.Subscribe(func(*table.Index) { took = time.Since(begin) })
		neighboursOf(d, answers).Run(t.Context())
		if took == 0 || took > maxAskTime+200*time.Millisecond || name != "none answers" && took > 100*time.Millisecond {
			t.Errorf("%s: the table came after %v", name, took)
		}
	}
}

// TestOutdatedEntryHeedsEvacuationsOfNeighbours guards against an entry that keeps sending to
// an evacuated failure domain while only the other entries can read the store. The domains
// must count until the entry has read the list itself, and lists of neighbours that are as old
// must not.
func TestOutdatedEntryHeedsEvacuationsOfNeighbours(t *testing.T) {
	d := New()
	d.SetPlatformTable(platformTable(4), StoredVersion{Era: 1}, clock.BootNow())
	d.SetEvacuated([]string{"west"})
	isOut := func(domain string) bool {
		ix, _ := d.Index()
		return ix.IsOutOfService("u", domain)
	}
	d.ConfirmEvacuations(clock.BootNow())
	d.ApplyKnowledge(Knowledge{Version: 4, Evacuated: []string{"north"}, EvacuatedAgeMillis: 100, RestoredMillis: -1})
	if isOut("north") {
		t.Error("a neighbour's list counts although the own one is recent")
	}
	d.evacuationsConfirmedAt = clock.BootNow() - clock.BootTime(EvacuationReturnTime+time.Second)
	d.ApplyKnowledge(Knowledge{Version: 4, Evacuated: []string{"north"}, EvacuatedAgeMillis: EvacuationReturnTime.Milliseconds() + 1, RestoredMillis: -1})
	d.ApplyKnowledge(Knowledge{Version: 4, Evacuated: []string{"north"}, EvacuatedAgeMillis: -1, RestoredMillis: -1})
	if isOut("north") {
		t.Error("the old list of a neighbour counts")
	}
	d.ApplyKnowledge(Knowledge{Version: 4, Evacuated: []string{"north"}, EvacuatedAgeMillis: 100, RestoredMillis: -1})
	d.ApplyKnowledge(Knowledge{Version: 4, Evacuated: []string{"east"}, EvacuatedAgeMillis: 100, RestoredMillis: -1})
	for _, domain := range []string{"west", "north", "east"} {
		if !isOut(domain) {
			t.Errorf("%s is in service", domain)
		}
	}
	if k := d.Knowledge(); len(k.Evacuated) != 1 || k.EvacuatedAgeMillis < EvacuationReturnTime.Milliseconds() {
		t.Errorf("the entry tells %+v", k)
	}
	d.ConfirmEvacuations(clock.BootNow())
	if isOut("north") || isOut("east") || !isOut("west") {
		t.Error("neighbours' lists count after the own one was read")
	}
}
