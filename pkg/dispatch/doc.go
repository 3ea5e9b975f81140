// Package dispatch decides at an entry which waiting request goes to which
// upstream next, when the entry calls upstreams itself. It joins the fair queue
// of each service, the state of its upstreams, and the capacity of rank groups.
//
// A request waits in its service's queue, where it has certainly not run, until
// an upstream has room. An upstream has room while the requests that this entry
// has there, together with those that others have there, are below its slots.
// The ranks of a group make every pass together, so a group has a limit of its
// own: as many requests as leave a pass within the pause that callers accept.
//
// A request is refused at once when the time until its turn, as the queue drains
// now, outlasts its caller's patience. The refusal names the time after which
// the queue will have drained.
//
// The package is pure: events and the time go in, decisions come out.
package dispatch
