// Package statement keeps what upstreams state about themselves in their responses: that they
// are leaving, and that they want no requests for some time. Their limits are kept by package
// sendlimit.
//
// Leaving. An upstream that is leaving gets no more requests. This holds until its incarnation
// has ended; no list of the platform and no later response takes it back.
//
// Pauses. An upstream that wants no requests gets none until the pause has ended. Only responses
// to requests that were sent before can arrive in a pause, so they may lengthen it, and never
// shorten it. After a pause the upstream gets one request, and more with each response that
// names no other pause.
//
// A statement applies to one incarnation of an upstream, and only to the entry that has received
// it. The package does no I/O and reads no clock: callers pass events and the time.
package statement
