// Package connpool keeps HTTP/1.1 connections to upstreams and tells exactly how
// far a request got.
//
// The client of net/http sends some requests a second time when a kept
// connection turns out to be closed, and does not say so. Here a request is
// written at most once: ErrNotSent means that no byte of it left this process,
// any other error that the upstream may have it.
//
// A kept connection is used again only when the answer before was read to its
// end, nothing has arrived since, and it has not rested for too long. How long
// that is follows the upstream's Keep-Alive header, and falls when a connection
// turns out to be dead.
package connpool
