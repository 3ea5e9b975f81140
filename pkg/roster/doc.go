// Package roster keeps a list of the system's hosts in the platform's store, for
// platforms that provide none. Each process registers its host under the host's name
// and renews the registration every 5 minutes. A registration that has not been
// renewed for three times as long has expired; the other hosts remove it. Each host
// measures this time on its own clock from the last renewal that it observed.
//
// Limits that hold over all entries together, such as the retries at a service, are
// divided by the number of entries that may be alive, not by the number that can be
// reached: the entries then stay within the limit while they are partitioned from
// each other. Every registered host counts as an entry, whatever its role. A reserve
// is added for entries that start during a partition.
package roster
