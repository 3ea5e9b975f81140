// Package quarantine decides which parts of prompts are kept from upstreams, because
// requests with them end the upstreams that begin to respond.
//
// Losses. An attempt at an upstream that breaks off raises the suspicion that the upstream
// has ended. The suspicion is confirmed if the upstream's address refuses connections, if
// another upstream has the address, or if the platform lists a later incarnation. An
// upstream that had announced its end, or that has only become silent, is no evidence
// (LossDetector).
//
// Evidence. A request that ends an upstream has not begun there. So the candidates of a
// loss are the parts which the requests that had not begun there share with others. A
// candidate is refuted by a response with it that has begun well since, at any entry. A
// part with which responses had begun well before is a candidate only if no unproven part
// was there, and only if upstreams end repeatedly. Of several candidates, the one that
// explains most losses is suspected. Losses at one time count once: when a rank of a group
// ends, all ranks stop, and upstreams that end together may have a common cause.
//
// States. After one loss an unproven part is suspected: requests with it are sent one at a
// time in the whole system (Trials), until a response begins well or another upstream
// ends. After two it is quarantined: requests with it are refused. One loss is enough if no
// other unproven part explains it, all upstreams that ended together are explained, and
// few other requests have unproven parts, so that a coincidence is unlikely. A quarantine
// ends after a time that grows with each loss; then a trial shows whether the part is sound
// again.
//
// Whole requests. A request that names no parts is recognised as a whole, by a fingerprint of
// its organisation, method, path and body: one more kind of part. It is never conclusive after
// one loss, as nearly all requests are new. Its next sending is a trial, and the end of another
// upstream during a trial counts as another time. What begins well is not remembered for whole
// requests, only that a candidate is refuted, so that the memory depends on the losses alone.
//
// Scope. If a part has begun well for other organisations only, losses by requests of one
// organisation keep only its requests with the part from upstreams. If all losses are by
// requests of one organisation, a trial with the part for another one is possible sooner.
// So an organisation that sends harmful prompts under the name of another's part can't
// make that part unusable while the other one uses it.
//
// Reports. What an entry knows about a loss is a Report. Entries send each other reports
// and merge them; a merged report holds everything that either of them held, whatever the
// order. All entries that have the same reports come to the same conclusions.
//
// Each entry estimates how likely a coincidence is from a sample of its latest requests:
// the share of them whose parts had begun neither at this entry nor at the others.
//
// The package does no I/O and reads no clock: callers pass events and the time, and
// receive verdicts and the reports to send. Random delays are drawn from a seeded source.
package quarantine
