// Package soak runs the programs in a simulated deployment of the platform, as separate
// processes on this machine, and injects faults from outside. TCP forwarders delay, reset,
// stall, blackhole or cut connections, or drop one direction. Signals stop, pause, kill
// and restart processes. The platform's store refuses calls, drops responses, loses
// answers on connections that stay open, delays writes and drops its history. Upstreams crash, don't respond, and send invalid
// responses. The faults are drawn from a seed, come in series and overlap.
//
// Callers read responses from their connections themselves, with HTTP/1.1 on kept
// connections or with HTTP/1.0, so that they see how a response is framed and how it ends.
//
// The store and the upstreams are simulated in the soak's own process, so that it observes
// both what callers receive and what upstreams receive. During a run it checks that:
//
//   - work that is not idempotent runs at most once, and never before or after a
//     refusal that reports that it has not run;
//   - a response is complete, signed and belongs to the caller's request; a stream has
//     each event once and in order, and ends normally only when it is complete. The end
//     of the connection is a normal end of a body without length and chunks, a reset is
//     none;
//   - nothing arrives on a connection but the responses to its requests;
//   - no upstream receives a caller's key or the name of another organisation;
//   - no work runs with a key later than allowed after the key was revoked;
//   - all ranks of a group use the same expert map in a forward pass;
//   - nothing runs in a failure domain that was evacuated, or at an upstream that drains,
//     later than allowed;
//   - work runs where the current configuration routes it, and no entry goes back to an
//     older configuration;
//   - a part of prompts that crashes ranks does so only a few times;
//   - callers are served again after the faults.
package soak
