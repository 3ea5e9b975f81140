// Package intake bounds what clients can make a process hold: connections, and the memory of
// what they have sent or not yet read. All listeners of a process share one Gate.
//
// Memory. Each connection is charged for the bytes of an incomplete head, for the head and the
// body of a request until it has ended, and for buffered parts of its response. The charges of
// all connections stay below a budget. A part of the budget is reserved for connections that
// hold little, so that ordinary requests are received while others hold the rest. If a charge
// does not fit, connections are ended to make room, first those that hold most and have made
// least progress: those from which nothing has arrived for a time, and for a connection that
// holds little also those that hold more. Only connections without a complete request are
// ended, so that the refusal of a request can state that it has not run. If that does not make
// enough room, the charge is refused. A single request that holds much may use all of the budget.
//
// Progress. A body must arrive at a least rate, which is far below that of any network.
//
// Connections. Each listener accepts a number of connections that leaves descriptors for those
// that the process opens itself. Beyond it, an incomplete request from which nothing arrives
// gives way to the new connection, then the connection that has been idle longest, then the
// request that has been incomplete for longest.
//
// Table and Progress decide. They hold no sockets and no clocks. Gate, Listener and Conn are the
// shells around them.
package intake
