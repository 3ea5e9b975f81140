// Package soak runs the programs as they run on the platform, as separate processes
// on this machine, and harms them from outside: connections are delayed, reset, cut one
// way or silenced by forwarders, processes are stopped, paused, killed and restarted by
// signals, the platform's store refuses, loses answers, writes late and forgets its
// history, upstreams crash, fall silent and answer wrong bytes. Faults follow from a seed,
// come in series and overlap.
//
// The store and the upstreams are stand-ins in the soak's own process, so that it sees
// what callers and what upstreams see. While it runs it checks:
//
//   - work that is not idempotent runs at most once, and never after or before a
//     refusal that says it has not run;
//   - an answer is whole, signed, and the caller's own; a stream has each event once and
//     in order, and looks complete only when it is;
//   - no upstream is sent a caller's key, or another organisation's name;
//   - no work runs with a key later than allowed after it was taken away;
//   - all ranks of a group use one map in a pass;
//   - work goes where the configuration in force says, never back to an older one;
//   - after the faults, callers are served again.
package soak
