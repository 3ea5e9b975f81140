// Package abuse tests the programs with clients that break every limit: heads and bodies
// without end, bodies that stop just short of it, more connections than the process has
// descriptors. The tests start the programs on loopback addresses with small limits in their
// settings. A process must not end or exceed its limits, and must still answer an ordinary
// request while the other clients keep their connections open.
package abuse
