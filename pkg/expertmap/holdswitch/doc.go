// Package holdswitch changes the expert map of a group whose engines hold, arm
// and go, so that in every pass all ranks use one map. One coordinator gives
// orders to all ranks; any agent can take its place at any moment, since all
// state can be read back from the engines.
//
// The engines' orders:
//
//   - prepare copies the experts of a map under a version. It is the only order
//     that moves a rank's sequence number, and is refused while the rank is armed.
//   - hold keeps the group from beginning a pass until go for it arrives at the
//     same rank. It does not expire.
//   - arm makes the rank switch to its prepared map as a pass begins; disarm
//     takes that back.
//
// A round prepares a map on all ranks, holds a pass at the coordinator's own
// rank, arms every rank for that pass, and lets it go once all have confirmed.
//
// An order without an answer may be carried out seconds later. Every order names
// the sequence number that the rank had after the round's prepare, so a later
// prepare makes it void. A round that can't be finished is undone while the pass
// is held: each rank is disarmed, and then given a prepare that changes nothing,
// so that no late arm can take effect; only then does the pass go on.
//
// A coordinator that finds ranks armed or held by another one first holds the
// pass at its own rank, which the other one can't release. It then lets the pass
// go if all ranks are armed alike, and undoes the round otherwise. So two
// coordinators at once, and one that froze and wakes, do no harm.
//
// The package is pure: events and the time go in, orders come out.
package holdswitch
