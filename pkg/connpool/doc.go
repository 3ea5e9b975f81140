// Package connpool keeps HTTP/1.1 connections to upstreams and reports whether a request
// that failed may have reached its upstream.
//
// The client of net/http repeats some requests when a kept connection turns out to be
// closed, and does not report that. Here a request is written at most once: ErrNotSent
// means that no byte of it was written, any other error that the upstream may have
// received it.
//
// A kept connection is reused only if the previous response was read to its end, nothing
// has arrived since, and it has not been idle for too long. The idle limit follows the
// upstream's Keep-Alive header, and is lowered after a request on a reused connection ended
// without a valid response header, since the connection may have been dead. A request that must
// not be reported as refused after it ran is sent only on connections without an earlier refusal,
// as a faulty upstream may repeat one.
package connpool
