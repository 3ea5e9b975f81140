// Package holdswitch changes the expert map of a group whose engines hold, arm
// and go, so that in every pass all ranks use one map. One coordinator gives
// orders to all ranks; any agent can take its place at any moment, since all
// state can be read back from the engines.
//
// The engines' orders:
//
//   - prepare copies the experts of a map under a version, in place of the one
//     prepared before. It is refused while the rank is armed, and for a version
//     that is not above all that the rank has had.
//   - hold keeps the group from beginning a pass until go for it arrives at the
//     same rank. It does not expire.
//   - arm makes the rank switch to its prepared map as a pass begins; disarm
//     takes that back.
//
// A round prepares a map on all ranks, holds a pass at one rank, makes sure that
// no other coordinator holds one, arms every rank for that pass, and lets it go
// once all have confirmed.
//
// An order without an answer may be carried out seconds later. Arming names the
// version, so a later prepare makes it void. A round that can't be finished is
// undone while the pass is held: each rank is disarmed, and then given a prepare
// that changes nothing, so that no late arming can take effect; only then does the
// pass go on. Only versions are disarmed for which ranks were armed when the pass
// had just been held: a hold that somebody has let go since must not be relied on.
//
// A coordinator that finds ranks armed or held by another one first holds the
// pass at a rank of its own, and then undoes the round. So two coordinators at
// once, and one that froze and wakes, do no harm.
//
// The package is pure: events and the time go in, orders come out.
package holdswitch
