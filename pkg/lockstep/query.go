package lockstep

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// pathQuery is the path at which agents receive queries.
const pathQuery = "/v1/rank/ask"

// Limits of queries and orders.
const (
	// callTimeout limits a call of an agent, relayTimeout a call of an agent that relays
	// the query to others.
	callTimeout  = 200 * time.Millisecond
	relayTimeout = 350 * time.Millisecond
	// orderTimeout limits all tries of an order to an engine. It is below callTimeout, so
	// that the agent can still reply that the engine did not respond.
	orderTimeout = 100 * time.Millisecond
	// ownOrderTryTimeout and remoteOrderTryTimeout limit one try of an order, to the own
	// rank and to a rank on another host, so that several tries fit into orderTimeout.
	// An engine responds within a millisecond, but an agent has only a fraction of a core.
	ownOrderTryTimeout    = 30 * time.Millisecond
	remoteOrderTryTimeout = 45 * time.Millisecond
	// copyWaitTimeout is how long an agent waits, before it replies to a prepare order,
	// for its rank to copy the experts. Together with orderTimeout it is below callTimeout.
	copyWaitTimeout = 80 * time.Millisecond
	// copyPollInterval is the time between two reads of the status during this wait.
	copyPollInterval = 10 * time.Millisecond
	// maxQueryBytes limits a query and its replies, which contain at most a map or the
	// expert selections of some ranks.
	maxQueryBytes = 4 << 20
)

// target is a rank that is queried.
type target struct {
	Rank   int    `json:"rank"`
	Agent  string `json:"agent"`
	Engine string `json:"engine"`
}

// query is a coordinator's query for the status of some ranks, or an order to them.
type query struct {
	From Membership `json:"from"`
	// Order is nil for a plain query. The map of an order is sent in Map, encoded.
	Order *holdswitch.Order `json:"order,omitempty"`
	Map   []byte            `json:"map,omitempty"`
	// MapHash identifies the map. Map may be left out if the agents have received it
	// before.
	MapHash uint64 `json:"map_hash,omitempty"`
	// Picks requests the expert selections since the previous query from the same rank,
	// Held the experts that the rank holds.
	Picks bool `json:"picks,omitempty"`
	Held  bool `json:"held,omitempty"`
	// Targets are the ranks that the receiving agent queries.
	Targets []target `json:"ranks"`
}

// reply is the reply to a query for one rank.
type reply struct {
	Rank    int                `json:"rank"`
	Outcome holdswitch.Outcome `json:"verdict"`
	// Status is nil if the rank's status could not be read.
	Status *RankStatus `json:"reading,omitempty"`
	// NeedsMap is true if the agent does not have the map that the query refers to.
	NeedsMap bool `json:"needs_map,omitempty"`
	// Picks are the expert selections, encoded by pack.
	Picks []byte       `json:"picks,omitempty"`
	Held  *HeldExperts `json:"held,omitempty"`
}

// replies is the response to a query.
type replies struct {
	Replies []reply `json:"answers"`
}

// pack encodes a value that would be too large as JSON.
func pack(v any) ([]byte, error) {
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(v)
	return buf.Bytes(), errors.WithStack(err)
}

// unpack decodes a value that was encoded by pack.
func unpack(raw []byte, v any) error {
	return errors.WithStack(gob.NewDecoder(bytes.NewReader(raw)).Decode(v))
}

// newQuery returns a query with an order, and encodes the order's map. For an order that
// only voids earlier ones, the query contains just the hash of the map if this agent has
// received that map before, since all other agents received it too. If whole is true, the
// query always contains the map.
func (m *mapCache) newQuery(from Membership, o holdswitch.Order, whole bool) (query, error) {
	q := query{From: from, Order: &o}
	if o.Map == nil {
		return q, nil
	}
	packed, err := packLayers(o.Map.Layers)
	if err != nil {
		return q, err
	}
	o.Map = nil
	known := m.byHash(xxhash.Sum64(packed)) != nil
	q.MapHash = m.add(o.Version, packed)
	if whole || !known || !o.Void {
		q.Map = packed
	}
	return q, nil
}

// ensureMap caches the map that a query contains. It reports false if the query refers
// to a map that is not cached.
func (m *mapCache) ensureMap(q *query) bool {
	if len(q.Map) > 0 && q.Order != nil {
		m.add(q.Order.Version, q.Map)
		return true
	}
	return q.MapHash == 0 || m.byHash(q.MapHash) != nil
}

// decodeOrder returns the order of a query with its map, decoded from the query or
// from the cache.
func (m *mapCache) decodeOrder(q *query) (holdswitch.Order, error) {
	o := *q.Order
	packed := q.Map
	if len(packed) == 0 && q.MapHash != 0 {
		packed = m.byHash(q.MapHash)
	}
	if len(packed) > 0 {
		o.Map = &expertmap.Map{Version: o.Version}
		if err := unpack(packed, &o.Map.Layers); err != nil {
			return o, err
		}
	}
	return o, nil
}

// Register adds the routes that other agents and entries call.
func (a *Agent) Register(g *echo.Group) {
	g.POST(pathQuery, func(c echo.Context) error {
		var q query
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxQueryBytes)
		if err := c.Bind(&q); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		a.recordQuery(q.From)
		return c.JSON(http.StatusOK, &replies{Replies: a.queryAll(c.Request().Context(), &q)})
	})
	g.GET(PathGroupLoad, func(c echo.Context) error {
		load := a.GroupLoad(time.Now())
		if load == nil {
			return c.NoContent(http.StatusNotFound)
		}
		return c.JSON(http.StatusOK, load)
	})
}

// queryAll queries all targets of a query concurrently.
func (a *Agent) queryAll(ctx context.Context, q *query) []reply {
	own := a.ownMembership()
	out := make([]reply, len(q.Targets))
	if !a.maps.ensureMap(q) {
		for i, t := range q.Targets {
			out[i] = reply{Rank: t.Rank, Outcome: holdswitch.OutcomeUnanswered, NeedsMap: true}
		}
		return out
	}
	var pending sync.WaitGroup
	for i, t := range q.Targets {
		pending.Go(func() {
			if t.Rank == own.Rank {
				out[i] = a.queryOwnRank(ctx, q)
			} else {
				out[i] = a.forwardQuery(ctx, q, t)
			}
			out[i].Rank = t.Rank
		})
	}
	pending.Wait()
	return out
}

// queryOwnRank carries out a query at this agent's own rank.
func (a *Agent) queryOwnRank(ctx context.Context, q *query) reply {
	out := reply{Outcome: holdswitch.OutcomeDone}
	if q.Order != nil && q.Order.Kind != holdswitch.OrderRead {
		o, err := a.maps.decodeOrder(q)
		if err != nil {
			a.log.WithError(err).Warn("the map of an order could not be decoded; the order to the own rank is refused")
			return reply{Outcome: holdswitch.OutcomeRefused}
		}
		out.Outcome = a.orderOwnRank(ctx, o)
	}
	status, err := a.ownStatus(ctx)
	if err != nil {
		a.log.WithError(err).Debug("status of the own rank could not be read")
		if out.Outcome == holdswitch.OutcomeDone && (q.Order == nil || q.Order.Kind == holdswitch.OrderRead) {
			out.Outcome = holdswitch.OutcomeUnanswered
		}
		return out
	}
	out.Status = &status
	if q.Picks {
		out.Picks = a.picksSinceLastQuery(ctx, q.From.Rank)
	}
	if q.Held {
		heldCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if held, err := a.engine.HeldExperts(heldCtx); err == nil {
			out.Held = &held
		}
	}
	return out
}

// orderOwnRank sends an order to the agent's own rank. After a prepare order it waits
// for up to copyWaitTimeout until the experts are copied, so that the coordinator need
// not send another query.
func (a *Agent) orderOwnRank(ctx context.Context, o holdswitch.Order) holdswitch.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout+copyWaitTimeout)
	defer cancel()
	outcome := sendOrderWithRetries(ctx, a.engine, o, ownOrderTryTimeout).Outcome
	if o.Kind != holdswitch.OrderPrepare || o.Void || outcome != holdswitch.OutcomeDone {
		return outcome
	}
	for until := time.Now().Add(copyWaitTimeout); time.Now().Before(until); time.Sleep(copyPollInterval) {
		if status, err := a.engine.Status(ctx); err != nil || status.State.Prepared == o.Version {
			break
		}
	}
	return outcome
}

// sendOrderWithRetries sends an order to an engine, and retries until the engine responds
// or orderTimeout has passed. Orders are idempotent. If only a single response is lost,
// the next try succeeds, and a held pass waits no longer than one tryTimeout. A refusal
// after a try without a response is reported as unanswered, because the earlier try may
// have been carried out.
func sendOrderWithRetries(ctx context.Context, e Engine, o holdswitch.Order, tryTimeout time.Duration) holdswitch.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	unanswered := false
	for ctx.Err() == nil {
		tryCtx, cancelTry := context.WithTimeout(ctx, tryTimeout)
		res := e.SendOrder(tryCtx, o)
		cancelTry()
		switch {
		case res.Outcome == holdswitch.OutcomeDone, res.Outcome == holdswitch.OutcomeRefused && !unanswered:
			return res
		case res.Outcome == holdswitch.OutcomeRefused:
			return holdswitch.Result{Outcome: holdswitch.OutcomeUnanswered}
		}
		unanswered = true
	}
	return holdswitch.Result{Outcome: holdswitch.OutcomeUnanswered}
}

// picksSinceLastQuery returns the encoded number of selections of each expert since the
// previous query from a rank, or nil if there is no count to compare with.
func (a *Agent) picksSinceLastQuery(ctx context.Context, from int) []byte {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, err := a.engine.Counts(ctx)
	if err != nil {
		a.log.WithError(err).Debug("expert selections of the own rank could not be read")
		return nil
	}
	a.mu.Lock()
	last := a.lastCounts[from]
	a.lastCounts[from] = counts
	a.mu.Unlock()
	if last.Epoch != counts.Epoch || len(last.Counts) != len(counts.Counts) {
		return nil
	}
	since := make([]uint64, len(counts.Counts))
	for i := range since {
		if counts.Counts[i] > last.Counts[i] {
			since[i] = counts.Counts[i] - last.Counts[i]
		}
	}
	packed, err := pack(since)
	if err != nil {
		a.log.WithError(err).Warn("expert selections of the own rank could not be encoded; the reply is sent without them")
		return nil
	}
	return packed
}

// forwardQuery sends a query for one rank to the rank's agent. If the agent does not
// respond, an order is sent directly to the engine; a plain query is not, as an engine
// does not report its counts to other hosts.
func (a *Agent) forwardQuery(ctx context.Context, q *query, t target) reply {
	if !a.unresponsive.contains(t.Rank, time.Now()) || q.Order == nil && t.Rank < CoordinatorCandidates {
		// Candidates are queried even while they count as unresponsive, because they
		// detect the coordinator by its queries. A coordinator that was itself paused
		// has marked all of them as unresponsive.
		one := *q
		one.Targets = []target{t}
		out, err := a.call(ctx, t.Agent, &one, callTimeout)
		if err == nil && len(out) == 1 {
			return out[0]
		}
		a.unresponsive.add(t.Rank, time.Now())
	}
	if q.Order == nil {
		return reply{Outcome: holdswitch.OutcomeUnanswered}
	}
	o, err := a.maps.decodeOrder(q)
	if err != nil {
		a.log.WithError(err).Warn("the map of an order could not be decoded; the order is refused")
		return reply{Outcome: holdswitch.OutcomeRefused}
	}
	return a.orderDirectly(ctx, o, t)
}

// orderDirectly sends an order to an engine on another host, without its agent.
func (a *Agent) orderDirectly(ctx context.Context, o holdswitch.Order, t target) reply {
	res := sendOrderWithRetries(ctx, a.cfg.EngineAt(t.Engine), o, remoteOrderTryTimeout)
	out := reply{Rank: t.Rank, Outcome: res.Outcome}
	if res.State != nil {
		out.Status = &RankStatus{State: *res.State}
	}
	return out
}

// call sends a query to another agent and returns its replies.
func (a *Agent) call(ctx context.Context, address string, q *query, timeout time.Duration) ([]reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := json.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathQuery, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxQueryBytes)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, body)
		return nil, errors.Errorf("agent responded to a query with status %d; send the query again later", resp.StatusCode)
	}
	var out replies
	if err := json.NewDecoder(body).Decode(&out); err != nil {
		return nil, errors.WithStack(err)
	}
	return out.Replies, checkReplies(q.Targets, out.Replies)
}

// checkReplies returns an error unless there is one reply with a known outcome for each target.
func checkReplies(targets []target, list []reply) error {
	missing := make(map[int]bool, len(targets))
	for _, t := range targets {
		missing[t.Rank] = true
	}
	for i := range list {
		known := slices.Contains([]holdswitch.Outcome{holdswitch.OutcomeDone, holdswitch.OutcomeRefused, holdswitch.OutcomeUnanswered}, list[i].Outcome)
		if !known || !missing[list[i].Rank] {
			return errors.Errorf("the agent replied for rank %d, which was not queried, or with an unknown outcome; look at its version", list[i].Rank)
		}
		delete(missing, list[i].Rank)
	}
	if len(missing) > 0 {
		return errors.Errorf("the agent left out %d ranks; look at its version", len(missing))
	}
	return nil
}
