package lockstep

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// pathAsk is the path at which agents are asked.
const pathAsk = "/v1/rank/ask"

// Bounds of a question.
const (
	// callTimeout bounds a call of an agent, relayTimeout one that passes the
	// question on.
	callTimeout  = 200 * time.Millisecond
	relayTimeout = 350 * time.Millisecond
	// orderTimeout bounds an order to an engine, so that its agent can still answer
	// that it has no answer.
	orderTimeout = 100 * time.Millisecond
	// ownOrderTry and farOrderTry bound one try of an order to the own rank and to one on
	// another host, so that several fit into orderTimeout. An engine answers within a
	// millisecond; agents have a part of a core.
	ownOrderTry = 30 * time.Millisecond
	farOrderTry = 45 * time.Millisecond
	// copyPatience is how long an agent waits for its rank to copy what it was told
	// to prepare, before it answers. With the order itself it stays below callTimeout.
	copyPatience = 80 * time.Millisecond
	// copyInterval is the time between two looks meanwhile.
	copyInterval = 10 * time.Millisecond
	// maxAskBytes bounds a question and its answers: a map, or the picks of some ranks.
	maxAskBytes = 4 << 20
)

// target is a rank that is asked.
type target struct {
	Rank   int    `json:"rank"`
	Agent  string `json:"agent"`
	Engine string `json:"engine"`
}

// ask is a coordinator's question or order to some ranks.
type ask struct {
	From Membership `json:"from"`
	// Order is nil for a question. Its map is in Map, packed.
	Order *holdswitch.Order `json:"order,omitempty"`
	Map   []byte            `json:"map,omitempty"`
	// MapHash names the map when it is left out, as agents were sent it before.
	MapHash uint64 `json:"map_hash,omitempty"`
	// Picks asks what each expert was chosen since the asker's last question, Held
	// which experts the rank holds.
	Picks bool `json:"picks,omitempty"`
	Held  bool `json:"held,omitempty"`
	// Ranks are asked through the agent that gets this.
	Ranks []target `json:"ranks"`
}

// answer is what became of a question at one rank.
type answer struct {
	Rank    int                `json:"rank"`
	Verdict holdswitch.Outcome `json:"verdict"`
	// Reading is nil when the rank could not be read.
	Reading *RankStatus `json:"reading,omitempty"`
	// NeedsMap is true when the agent does not know the map that the order names.
	NeedsMap bool `json:"needs_map,omitempty"`
	// Picks are packed.
	Picks []byte       `json:"picks,omitempty"`
	Held  *HeldExperts `json:"held,omitempty"`
}

// answers is the reply to a question.
type answers struct {
	Answers []answer `json:"answers"`
}

// pack encodes what is too large as text.
func pack(v any) ([]byte, error) {
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(v)
	return buf.Bytes(), errors.WithStack(err)
}

// unpack decodes what pack has encoded.
func unpack(raw []byte, v any) error {
	return errors.WithStack(gob.NewDecoder(bytes.NewReader(raw)).Decode(v))
}

// newAsk returns a question with an order, whose map it packs. The map of an order that
// only voids others is named when this agent was sent it before, as all were then,
// unless whole is true.
func (m *mapCache) newAsk(from Membership, o holdswitch.Order, whole bool) (ask, error) {
	q := ask{From: from, Order: &o}
	if o.Map == nil {
		return q, nil
	}
	packed, err := packLayers(o.Map.Layers)
	if err != nil {
		return q, err
	}
	o.Map = nil
	known := m.get(xxhash.Sum64(packed)) != nil
	q.MapHash = m.keep(o.Version, packed)
	if whole || !known || !o.Void {
		q.Map = packed
	}
	return q, nil
}

// complete remembers the map of a question, or adds the one that it names. It reports
// false when that one is not known.
func (m *mapCache) complete(q *ask) bool {
	if len(q.Map) > 0 && q.Order != nil {
		m.keep(q.Order.Version, q.Map)
		return true
	}
	return q.MapHash == 0 || m.get(q.MapHash) != nil
}

// order returns the order of a question with its map.
func (m *mapCache) order(q *ask) (holdswitch.Order, error) {
	o := *q.Order
	packed := q.Map
	if len(packed) == 0 && q.MapHash != 0 {
		packed = m.get(q.MapHash)
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
	g.POST(pathAsk, func(c echo.Context) error {
		var q ask
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxAskBytes)
		if err := c.Bind(&q); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		a.hear(q.From)
		return c.JSON(http.StatusOK, &answers{Answers: a.answerAll(c.Request().Context(), &q)})
	})
	g.GET(PathGroupLoad, func(c echo.Context) error {
		board := a.GroupLoad(time.Now())
		if board == nil {
			return c.NoContent(http.StatusNotFound)
		}
		return c.JSON(http.StatusOK, board)
	})
}

// answerAll asks all ranks of a question at once.
func (a *Agent) answerAll(ctx context.Context, q *ask) []answer {
	own := a.ownPlace()
	out := make([]answer, len(q.Ranks))
	if !a.maps.complete(q) {
		for i, t := range q.Ranks {
			out[i] = answer{Rank: t.Rank, Verdict: holdswitch.OutcomeUnanswered, NeedsMap: true}
		}
		return out
	}
	var asked sync.WaitGroup
	for i, t := range q.Ranks {
		asked.Go(func() {
			if t.Rank == own.Rank {
				out[i] = a.answerOwn(ctx, q)
			} else {
				out[i] = a.askOne(ctx, q, t)
			}
			out[i].Rank = t.Rank
		})
	}
	asked.Wait()
	return out
}

// answerOwn asks this agent's own rank.
func (a *Agent) answerOwn(ctx context.Context, q *ask) answer {
	out := answer{Verdict: holdswitch.OutcomeDone}
	if q.Order != nil && q.Order.Kind != holdswitch.OrderRead {
		o, err := a.maps.order(q)
		if err != nil {
			a.log.WithError(err).Warn("an order could not be read; it is refused")
			return answer{Verdict: holdswitch.OutcomeRefused}
		}
		out.Verdict = a.orderOwn(ctx, o)
	}
	reading, err := a.engine.Status(ctx)
	if err != nil {
		a.log.WithError(err).Debug("own rank not read")
		if out.Verdict == holdswitch.OutcomeDone && (q.Order == nil || q.Order.Kind == holdswitch.OrderRead) {
			out.Verdict = holdswitch.OutcomeUnanswered
		}
		return out
	}
	out.Reading = &reading
	if q.Picks {
		out.Picks = a.picks(ctx, q.From.Rank)
	}
	if q.Held {
		if held, err := a.engine.HeldExperts(ctx); err == nil {
			out.Held = &held
		}
	}
	return out
}

// orderOwn gives the agent's own rank an order. It waits a little for a copy that
// the order begins, so that the coordinator need not ask for it.
func (a *Agent) orderOwn(ctx context.Context, o holdswitch.Order) holdswitch.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout+copyPatience)
	defer cancel()
	verdict := repeatOrder(ctx, a.engine, o, ownOrderTry).Outcome
	if o.Kind != holdswitch.OrderPrepare || o.Void || verdict != holdswitch.OutcomeDone {
		return verdict
	}
	for until := time.Now().Add(copyPatience); time.Now().Before(until); time.Sleep(copyInterval) {
		if reading, err := a.engine.Status(ctx); err != nil || reading.State.Prepared == o.Version {
			break
		}
	}
	return verdict
}

// repeatOrder gives an engine an order, again while it does not answer: an engine that
// loses some answers answers the next one, and a held pass waits for no more than that.
// Orders are safe to repeat. A refusal after a try without an answer tells nothing, as the
// earlier try may have been obeyed.
func repeatOrder(ctx context.Context, e Engine, o holdswitch.Order, try time.Duration) holdswitch.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	unanswered := false
	for ctx.Err() == nil {
		one, done := context.WithTimeout(ctx, try)
		res := e.SendOrder(one, o)
		done()
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

// picks returns what each expert was chosen since the last question of an asker,
// packed, nil when that is not known.
func (a *Agent) picks(ctx context.Context, asker int) []byte {
	counts, err := a.engine.Counts(ctx)
	if err != nil {
		a.log.WithError(err).Debug("counts of the own rank not read")
		return nil
	}
	a.mu.Lock()
	last := a.counted[asker]
	a.counted[asker] = counts
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
		a.log.WithError(err).Warn("picks could not be packed; they are left out")
		return nil
	}
	return packed
}

// askOne asks one rank through its agent, or straight when the agent does not
// answer. An engine does not tell other hosts what it has counted.
func (a *Agent) askOne(ctx context.Context, q *ask, t target) answer {
	if !a.silent.is(t.Rank, time.Now()) || q.Order == nil && t.Rank < CoordinatorCandidates {
		// Standbys hear the coordinator by its questions, also after it was itself
		// silent and found them so.
		one := *q
		one.Ranks = []target{t}
		out, err := a.call(ctx, t.Agent, &one, callTimeout)
		if err == nil && len(out) == 1 {
			return out[0]
		}
		a.silent.mark(t.Rank, time.Now())
	}
	if q.Order == nil {
		return answer{Verdict: holdswitch.OutcomeUnanswered}
	}
	o, err := a.maps.order(q)
	if err != nil {
		a.log.WithError(err).Warn("an order could not be read; it is refused")
		return answer{Verdict: holdswitch.OutcomeRefused}
	}
	return a.orderStraight(ctx, o, t)
}

// orderStraight gives an engine on another host an order.
func (a *Agent) orderStraight(ctx context.Context, o holdswitch.Order, t target) answer {
	res := repeatOrder(ctx, a.cfg.EngineAt(t.Engine), o, farOrderTry)
	out := answer{Rank: t.Rank, Verdict: res.Outcome}
	if res.State != nil {
		out.Reading = &RankStatus{State: *res.State}
	}
	return out
}

// call asks another agent.
func (a *Agent) call(ctx context.Context, address string, q *ask, timeout time.Duration) ([]answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := json.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathAsk, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxAskBytes)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, body)
		return nil, errors.Errorf("agent answered %d; ask it again later", resp.StatusCode)
	}
	var out answers
	err = json.NewDecoder(body).Decode(&out)
	return out.Answers, errors.WithStack(err)
}
