// Package roster keeps the hosts of the system in the platform's store, for
// platforms that provide no list of them. Each process registers its host under
// the host's name and renews the registration once a minute; one that is not
// renewed for three counts as gone and is removed by the others.
//
// Bounds that hold over all entries, such as the retries at a service, are divided
// by the number of entries that may be alive, not by those that can be heard:
// entries then keep the bound together while they can't reach each other. A reserve
// is added for entries that start meanwhile.
package roster
