package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/dispatch"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// TestAttemptsAtUnresponsiveRankAreToldToMove guards against attempts that are left at a rank
// on a frozen host until their callers leave, two seconds after the latest event.
func TestAttemptsAtUnresponsiveRankAreToldToMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			ranks = 3
			pass  = 60 * time.Millisecond
			limit = time.Second
		)
		f := NewDirect(dispatch.Config{MaxQueueTime: time.Second, ColdFactor: 1, ColdSlack: 100},
			func(context.Context, string) error { return nil }, http.DefaultClient)
		f.SetIndex(table.NewIndex(&table.Table{Services: []table.Service{{Name: "desk", Kind: table.KindModel}}}))
		f.SetLimitDivisor(1)
		list := plainUpstreams(ranks)
		for i := range list {
			list[i].Group = dispatch.Group{Name: "g", Epoch: 1, Rank: i, Size: ranks, Open: true}
		}
		f.SetUpstreams(list)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go f.Run(ctx)

		moveRequested := make(map[string]<-chan struct{})
		frozen := ""
		for i := range ranks {
			id := fmt.Sprint("r", i)
			u := acquire(t, f, id)
			moveRequested[id] = u.MoveRequested
			f.RecordPart(id)
			if u.Report.Upstream == list[0].ID {
				frozen = id
			}
		}
		for start := time.Now(); time.Since(start) < limit; time.Sleep(pass) {
			for id := range moveRequested {
				if id != frozen {
					f.RecordPart(id)
				}
			}
		}
		for id, requested := range moveRequested {
			got := false
			select {
			case <-requested:
				got = true
			default:
			}
			if want := id == frozen; got != want {
				t.Errorf("%s was told to move: %v, want %v", id, got, want)
			}
		}
	})
}
