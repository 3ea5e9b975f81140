package intake

import (
	"cmp"
	"slices"
	"time"
)

// Shares and times of the decisions.
const (
	// reservedShare is the share of the budget that only clients use which hold little.
	reservedShare = 0.25
	// smallBytes is the most that such a client holds.
	smallBytes = 64 << 10
	// stallTime is the time without a byte after which a client with an incomplete request
	// gives way to any other.
	stallTime = time.Second
)

// Client is the part of a connection's state on which decisions depend.
type Client struct {
	group *Group
	// held is what the client is charged, in bytes.
	held int64
	// completed is true once the client has sent the complete head of a request.
	completed bool
	// receiving and serving count the requests that are incomplete and complete.
	receiving, serving int
	// headBytes is the length of what has arrived of an incomplete head.
	headBytes int
	// flushing is true from the end of the last request until its response was written.
	flushing bool
	// progressAt is when the client last sent something, or its last request ended.
	progressAt time.Time
	// begunAt is when the incomplete request began, or the client connected.
	begunAt time.Time
	// spent is true while no other request can follow, as the rest of one was not read.
	spent bool
	// cause is why the client was ended, "" if it was not.
	cause Cause
}

// isIncomplete reports whether the client has sent a part of a request, or no request yet.
func (c *Client) isIncomplete() bool { return !c.completed || c.headBytes > 0 || c.receiving > 0 }

// mayEnd reports whether the client can be ended without an effect on a complete request.
func (c *Client) mayEnd() bool { return c.serving == 0 && !c.flushing && c.cause == "" }

// isStalled reports whether nothing has arrived from the client for some time.
func (c *Client) isStalled(now time.Time) bool { return now.Sub(c.progressAt) >= stallTime }

// Group is the clients of one listener.
type Group struct {
	name string
	// limit is the number of clients at once.
	limit   int
	clients map[*Client]struct{}
}

// Table decides which clients may connect and how much they may hold.
type Table struct {
	budget, reserve int64
	// used is what all clients that were not ended are charged.
	used   int64
	groups []*Group
}

// NewTable returns a table with a budget in bytes.
func NewTable(budget int64) *Table {
	return &Table{budget: budget, reserve: int64(reservedShare * float64(budget))}
}

// AddGroup adds a listener with a limit of clients.
func (t *Table) AddGroup(name string, limit int) *Group {
	g := &Group{name: name, limit: limit, clients: make(map[*Client]struct{})}
	t.groups = append(t.groups, g)
	return g
}

// Open adds a client to a group. If the group is full, it also returns the client that is ended
// for it, or a nil client if none may be.
func (t *Table) Open(g *Group, now time.Time) (c, ended *Client) {
	if len(g.clients) >= g.limit {
		if ended = g.leastActive(now); ended == nil {
			return nil, nil
		}
		if ended.cause == "" {
			t.end(ended, CauseConnections)
		}
		t.Close(ended)
	}
	c = &Client{group: g, progressAt: now, begunAt: now}
	g.clients[c] = struct{}{}
	return c, ended
}

// Order in which clients give way to new ones, last first.
const (
	precedenceNone = iota
	// precedenceUnread is for clients that don't read their response.
	precedenceUnread
	// precedenceNew is for clients without a request so far.
	precedenceNew
	// precedenceSlow is for clients whose request has been incomplete for some time.
	precedenceSlow
	precedenceIdle
	// precedenceStalled is for clients with an incomplete request from which nothing arrives.
	precedenceStalled
	// precedenceEnded is for clients that were ended or whose last request was refused.
	precedenceEnded
)

// leastActive returns the client that gives way to a new one, the longest inactive one of the
// highest precedence. It returns nil if all are being served or have only begun to send.
func (g *Group) leastActive(now time.Time) *Client {
	var least *Client
	highest := precedenceNone
	for c := range g.clients {
		p := c.precedence(now)
		if p > highest || p == highest && least != nil && c.activeAt(p).Before(least.activeAt(p)) {
			least, highest = c, p
		}
	}
	return least
}

// precedence returns how soon a client gives way to a new one.
func (c *Client) precedence(now time.Time) int {
	stalled := c.isStalled(now)
	switch {
	case c.serving > 0:
		return precedenceNone
	case c.cause != "" || c.spent:
		return precedenceEnded
	case c.flushing && stalled:
		return precedenceUnread
	case c.flushing:
		return precedenceNone
	case c.isIncomplete() && stalled:
		return precedenceStalled
	case c.isIncomplete() && now.Sub(c.begunAt) >= stallTime:
		return precedenceSlow
	case !c.isIncomplete() && stalled:
		return precedenceIdle
	case !c.completed:
		return precedenceNew
	default:
		return precedenceNone
	}
}

// activeAt returns since when a client counts as inactive among those of a precedence.
func (c *Client) activeAt(precedence int) time.Time {
	if precedence == precedenceSlow {
		return c.begunAt
	}
	return c.progressAt
}

// Close removes a client.
func (t *Table) Close(c *Client) {
	t.Release(c, c.held)
	delete(c.group.clients, c)
}

// Receive records that bytes of a client have arrived.
func (*Table) Receive(c *Client, n int, now time.Time) {
	c.progressAt = now
	if c.receiving+c.serving == 0 {
		if c.headBytes == 0 && c.completed {
			c.begunAt = now
		}
		c.headBytes += n
	}
}

// Charge charges a client. It returns whether the charge fits into the budget, and the clients
// that are ended to make room.
func (t *Table) Charge(c *Client, n int64, now time.Time) (ok bool, ended []*Client) {
	ended, ok = t.makeRoom(c, n, now)
	if !ok {
		return false, nil
	}
	for _, v := range ended {
		t.end(v, CauseMemory)
	}
	c.held += n
	if c.cause == "" {
		t.used += n
	}
	return true, ended
}

// MayCharge reports whether a charge would fit into the budget now.
func (t *Table) MayCharge(c *Client, n int64, now time.Time) bool {
	_, ok := t.makeRoom(c, n, now)
	return ok
}

// makeRoom returns the clients that have to end so that another one can be charged. ok is false
// if those that may end don't hold enough.
func (t *Table) makeRoom(c *Client, n int64, now time.Time) (victims []*Client, ok bool) {
	total := c.held + n
	missing := t.used + n - t.budget
	if total > smallBytes {
		missing += t.reserve
	}
	if missing <= 0 {
		return nil, true
	}
	isOnlyLarge := total > smallBytes
	for _, g := range t.groups {
		for v := range g.clients {
			if v == c {
				continue
			}
			isOnlyLarge = isOnlyLarge && v.held <= smallBytes
			if v.held > 0 && v.mayEnd() && (v.isStalled(now) || total <= smallBytes && v.held > total) {
				victims = append(victims, v)
			}
		}
	}
	if isOnlyLarge && missing <= t.reserve {
		// A single request may also take what is reserved, or it could never be served.
		return nil, true
	}
	weight := func(v *Client) float64 {
		return float64(v.held) * (stallTime + now.Sub(v.progressAt)).Seconds()
	}
	slices.SortFunc(victims, func(a, b *Client) int { return cmp.Compare(weight(b), weight(a)) })
	for i, v := range victims {
		if missing -= v.held; missing <= 0 {
			return victims[:i+1], true
		}
	}
	return nil, false
}

// end marks a client as ended. What it holds counts as free, as it is about to be released.
func (t *Table) end(c *Client, cause Cause) {
	c.cause = cause
	t.used -= c.held
}

// Release gives back a part of what a client was charged.
func (t *Table) Release(c *Client, n int64) {
	c.held -= n
	if c.cause == "" {
		t.used -= n
	}
}

// BeginRequest records that the head of a request is complete. received is true if the request
// has no body.
func (t *Table) BeginRequest(c *Client, received bool) {
	if c.serving+c.receiving == 0 {
		t.Release(c, c.held)
	}
	c.completed, c.flushing, c.headBytes = true, false, 0
	if received {
		c.serving++
	} else {
		c.receiving++
	}
}

// CompleteRequest records that the body of a request has arrived.
func (*Table) CompleteRequest(c *Client) {
	c.receiving--
	c.serving++
}

// EndRequest records that a request has ended, whose response may still have to be written, and
// gives back what the client was charged for it. complete is true if all of the request had
// arrived.
func (t *Table) EndRequest(c *Client, complete bool, charged int64, now time.Time) {
	if complete {
		c.serving--
	} else {
		c.receiving--
		c.spent = true
	}
	c.progressAt = now
	if c.serving+c.receiving == 0 {
		// What was charged for the response is given back as well.
		c.flushing, charged = true, c.held
	}
	t.Release(c, charged)
}

// Rest records that no request of the client is left, and that others may follow.
func (*Table) Rest(c *Client, now time.Time) { c.flushing, c.spent, c.progressAt = false, false, now }
