// Package lockstep coordinates switches of the expert map in a group whose ranks run
// each forward pass together, in lockstep. It runs in the agent beside each rank. The
// engines of such a group carry out hold, arm and go orders (see package holdswitch);
// package group does the same for engines that switch by package mapswitch. Every agent
// reads the status of its own rank and passes orders on to it. One agent, the
// coordinator, collects expert selections from the ranks, plans maps (see plan.Rebalance)
// and drives each switch.
//
// The agent of the lowest responsive rank coordinates; only the agents of the
// first few ranks are candidates. A candidate detects the coordinator by its queries,
// so the election needs no messages of its own. Two agents may coordinate at the same
// time: package holdswitch ensures that even then all ranks use the same map in every
// pass.
//
// An order goes through the agent beside its rank. The same order to many ranks is
// relayed by a few of their agents, because links are slow. If an agent does not
// respond, the order is sent directly to the engine: orders are idempotent. Agents
// cache the maps that they receive, so that an order can refer to a map by its hash,
// and so that a new coordinator has the current map.
//
// Entries query the coordinator for the load of the group: how many requests each rank
// has, and which ranks are slow.
package lockstep
