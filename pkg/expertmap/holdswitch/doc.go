// Package holdswitch switches the expert map of a group at the start of a forward pass
// (a pass, numbered by Step), so that in every pass all ranks use the same map. It is
// meant for engines that carry out hold, arm and go orders; package mapswitch is for
// engines with prepare, commit and abort orders. One coordinator sends orders to all
// ranks. Any candidate can replace it at any moment, since all state can be read back
// from the engines.
//
// The engines' orders:
//
//   - prepare copies the experts of a map under a version and replaces the previous
//     prepare. It is refused while the rank is armed, and for a version that is not
//     above all earlier versions of the rank.
//   - hold keeps the group from beginning a given pass until the same rank receives a
//     go order, which releases the pass. A hold does not expire.
//   - arm makes the rank switch to its prepared map when a given pass begins; disarm
//     cancels that.
//
// A round prepares a map on all ranks, holds a pass at one rank, checks that no other
// coordinator holds a pass, arms every rank for the held pass, and releases the pass
// once all ranks have confirmed.
//
// An unanswered order may take effect seconds later. An arm order names a version, so a
// later prepare voids it. A round that can't be completed is undone while its pass is
// held: each rank is disarmed and then sent a prepare that changes nothing, so that no
// late arm order can take effect. Only then is the pass released. An undo disarms only
// versions that ranks were armed for in the first read after the pass was held, since
// another coordinator may have released the hold in the meantime.
//
// A coordinator that finds ranks armed or held by another coordinator first holds the
// pass itself, if possible at a rank that no other coordinator uses for its holds, and
// then undoes the round. Therefore neither two concurrent coordinators nor one that
// resumes after a freeze can make ranks use different maps in one pass.
//
// The package does no I/O and reads no clock: callers pass in events and the time, and
// receive orders.
package holdswitch
