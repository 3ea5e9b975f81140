// Package quarantine finds out why upstreams end.
//
// An attempt at an upstream that breaks off raises the suspicion that the upstream has
// ended. The suspicion is confirmed if the upstream's address refuses connections, if
// another upstream has the address, or if the platform no longer lists the upstream. Then
// the attempts that had not begun there, and the parts that their prompts share with other
// requests, show whether a request may be the cause.
//
// The package does no I/O and reads no clock: callers pass events and the time.
package quarantine
