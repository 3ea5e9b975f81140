// Package relay decides which responses of upstreams make up the response to a caller, and
// how that response ends.
//
// A request may be sent to several upstreams, one after the other. Until a part has reached
// the caller, the response to each attempt replaces the one before, and the request may still
// be refused. From then on a further response is accepted only if it continues the one that
// has begun: a stream of events with the same status and media type. The response then has
// two possible ends. It is complete if the response to the latest attempt was accepted and
// has arrived whole, and is broken off in every other case, so that the caller sees that it
// is not complete.
//
// State holds this decision and does no I/O. Response applies it to a Writer.
package relay
