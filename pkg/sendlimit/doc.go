// Package sendlimit keeps the limits that upstreams name: the requests per second that an
// upstream takes from all entries together.
//
// Records. An upstream names its limit in its responses, for as long as it applies. An
// entry learns it from responses that it receives itself (Observe) and from other entries
// (Merge). A limit ends when a response doesn't name it although its request was sent after
// the limit was last named; responses that overtake each other end nothing. A limit belongs
// to one incarnation of the upstream.
//
// The package does no I/O and reads no clock: callers pass events and the time. Times are
// exchanged between entries as ages, so that their clocks need not agree.
package sendlimit
