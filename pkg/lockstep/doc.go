// Package lockstep is the agents' part beside the ranks of a group whose engines
// hold, arm and go (see holdswitch). Every agent reads its own rank and passes
// orders on to it; one of them, the coordinator, gathers what the ranks have
// counted, plans maps and drives the switch.
//
// The agent of the lowest rank that is not silent coordinates. It is heard when
// it reads the other agents, so there are no further messages; only the first few
// ranks stand by. Two coordinators at once do no harm.
//
// An order goes through the agent beside its rank, and the same order to many ranks
// through few of their agents, as links are slow. When an agent does not answer, the
// order goes straight to the engine: orders are safe to repeat. Agents remember the
// maps that they were sent, so that an order can name one, and a coordinator that
// takes over knows the map in force.
//
// Entries ask the coordinator for its board: how many requests each rank has, and
// which are slow.
package lockstep
