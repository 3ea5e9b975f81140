// Package dispatch decides at an entry which waiting request goes to which
// upstream next, when the entry calls upstreams itself.
//
// Where a request goes. Of the upstreams with room it is one with the least
// requests of this entry, in its own failure domain first. What other entries have
// there is told late, and entries that go by the same late knowledge crowd the same
// upstreams; it only says whether an upstream, or all ranks of a group together,
// have a slot left. The ranks of a group make every pass together, so a slow rank
// gets nothing while any other is sound.
//
// Who waits. A request waits at the entry, where it has certainly not run. Requests
// that can still be answered on time go first, by the shares of their organisations;
// the others form a second lane behind them, so that a backlog does not make every
// later request late as well.
//
// Who is refused. A request is refused at once when nothing can run (no upstream is
// listed, no group is open, or all streams of a group are silent together), when its
// turn would come too late, or when it can't be on time any more and the lane of late
// requests does not drain. The refusal names the time after which to come back.
//
// Bounds that hold over all entries are divided by as many parts as there may be
// entries. The package is pure: events and the time go in, decisions come out.
package dispatch
