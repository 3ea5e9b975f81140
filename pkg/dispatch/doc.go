// Package dispatch decides at an entry which waiting request goes to which
// upstream next, when the entry calls upstreams itself. Package scheduler does so for
// entries that call upstreams through their agents.
//
// Selection. Among the upstreams with free capacity it selects one with the fewest
// requests of this entry, preferring the entry's own failure domain. Load from other
// entries is reported late, and entries that act on the same stale load overload the
// same upstreams; it is only used to decide whether an upstream, or a group as a whole,
// has a free slot. All ranks of a group run every forward pass together, so a slow
// rank gets no requests while any other is healthy. A rank whose streams are silent while
// its group runs passes is unresponsive: its requests move to other ranks before their
// callers leave, and it gets one request a second until it responds.
//
// Queueing. A request waits at the entry, where it has certainly not run. Requests
// that can still meet their first-part deadline, the time by which the first part of
// the response must arrive, go first, by the shares of their organisations (package
// fairqueue). The others wait in a second queue behind them, so that a backlog does not
// make every later request late as well.
//
// Refusal. A request is refused at once if nothing can run (the number of entries is
// unknown, no upstream is in service, no group is open, or a group has stalled), if all
// upstreams that could take it have stated that they are leaving or want no requests, or if its
// predicted wait is too long and it is not expected to be on time. A waiting request is
// refused once nothing can run, once it has waited too long, or once it can't be on time
// any more while the late queue is full. The refusal states the time after which to retry.
//
// Limits that hold over all entries are divided by the largest number of entries that
// may exist. The package does no I/O and reads no clock: callers pass events and the
// time, and receive decisions. Random choices are drawn from a seeded source.
package dispatch
