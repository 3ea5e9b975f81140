// Package sendlimit keeps the limits that upstreams name: the requests per second that an
// upstream takes from all entries together.
//
// Records. An upstream names its limit in its responses, for as long as it applies. An
// entry learns it from responses that it receives itself (Observe) and from other entries
// (Merge). A limit ends when a response doesn't name it although its request was sent after
// the limit was last named; responses that overtake each other end nothing. A limit belongs
// to one incarnation of the upstream.
//
// Parts. The entries share a limit by leases of rates (package ceiling): the rates of all of
// them never sum to more than the limit, also while some can't reach each other, and an
// entry that has no use for its part lends it. An entry's allowance for an upstream grows at
// its rate. It holds a single request, or a tenth of a second's rate, and less than that
// while nothing wants the upstream, so that all entries together send little more than the
// limit in any period, also when many become busy at once. A limit far below one request per second is shared in the same way: each entry
// then sends a request every so many seconds, at times that are drawn at random.
//
// Use. A dispatcher prefers upstreams without a limit. It sends requests to a limited one
// when no other has room, and one when the limit hasn't been confirmed for some time. A limit
// of 0 means that no request is wanted: the entries together send one in ten seconds, to
// notice the end of the limit.
//
// The package does no I/O and reads no clock: callers pass events and the time. Times are
// exchanged between entries as ages, so that their clocks need not agree.
package sendlimit
