package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times and counts of the map case.
const (
	streamCallers = 10
	mapSteadyTime = 6 * time.Second
	// agentDownTime is how long the killed agent is down.
	agentDownTime = 3500 * time.Millisecond
	mapAfterTime  = 4 * time.Second
	// copiedRank is the rank whose entry the other writer has copied in part.
	copiedRank = 6
)

// groupConfig returns a configuration with one group of model replicas.
func groupConfig() map[string]any {
	config := engineConfig(meanPrompt, revokedKey)
	engine := config["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	for key, value := range map[string]any{
		"sets": expertLayers, "experts": expertCount, "placements": expertSlots, "spare": maxNewExperts, "expert-mb": 1.0, "link-mbps": 1000.0,
		"expert-share": 0.85, "form_ms": 600.0, "stride": 1, "step_ms": 40.0,
	} {
		engine[key] = value
	}
	return config
}

// runMap kills the agent beside rank 0 while an entry of another writer lacks the number of a
// rank. It returns the number of passes that began with different maps.
func runMap(record *recorder, trouble bool) (int, error) {
	d, err := newDeployment(record, groupConfig())
	if err != nil {
		return 0, err
	}
	defer d.close()
	g := newGroup(record)
	defer close(g.stop)
	agents, err := d.startGroup(g, func(rank int) func(*upstream, http.ResponseWriter, *http.Request) {
		return func(u *upstream, w http.ResponseWriter, r *http.Request) { g.serve(u, rank, w, r) }
	})
	if err != nil {
		return 0, err
	}
	go g.run()
	entries, err := d.startEntries(2)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for c := range streamCallers {
		all.Go(func() { d.sendStreams(fmt.Sprintf("caller%d", c), entries[c%len(entries)], stop) })
	}
	time.Sleep(mapSteadyTime)
	if trouble {
		copied := d.upstreams[fmt.Sprintf("i-rank%d", copiedRank)]
		// The entry is a part of that of another rank: version, cold-left-ms, seq, size and the
		// number of the rank are missing.
		d.store.put("servers", "other-1", map[string]any{
			"service": "writers", "address": copied.address, "zone": copied.zone, "slots": 12, "state": "ready", "born": copied.born,
			"group": map[string]any{"name": groupName, "epoch": 1, "state": "open"},
		})
		record.line("another writer has left the entry other-1, a part of that of rank %d without the number of the rank", copiedRank)
		time.Sleep(time.Second)
		record.line("SIGKILL to %s, the agent beside rank 0", agents[0].name)
		agents[0].signal(syscall.SIGKILL)
		<-agents[0].done
		time.Sleep(agentDownTime)
		if agents[0], err = d.restart(agents[0]); err != nil {
			return 0, err
		}
		record.line("%s is back", agents[0].name)
	} else {
		time.Sleep(time.Second + agentDownTime)
	}
	time.Sleep(mapAfterTime)
	close(stop)
	all.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	record.line("%d passes, %d switches of the map, %d passes with different maps", g.step, g.switches, g.broken)
	return g.broken, nil
}

// startGroup starts the replicas of a group and the agents beside them. handler returns what
// serves the calls of a rank.
func (d *deployment) startGroup(g *group, handler func(rank int) func(*upstream, http.ResponseWriter, *http.Request)) ([]*process, error) {
	agents := make([]*process, groupRanks)
	for rank := range groupRanks {
		ip, zone := fmt.Sprintf("%s%d", d.subnet, 30+rank), []string{"z-a", "z-b", "z-c"}[rank%3]
		u, err := d.startUpstreamAt(ip, fmt.Sprintf("i-rank%d", rank), "writers", zone, 12, handler(rank))
		if err != nil {
			return nil, err
		}
		u.extra = map[string]any{"group": g.membership(rank), "size": groupRanks}
		u.register("ready", u.born)
		if agents[rank], err = d.startAgent(ip, zone, u); err != nil {
			return nil, err
		}
	}
	return agents, nil
}

// startAgent starts the agent beside a model replica with the command of the deploy file.
func (d *deployment) startAgent(ip, zone string, u *upstream) (*process, error) {
	store, err := d.store.open()
	if err != nil {
		return nil, err
	}
	name := "side-" + u.id
	settings := d.settings(name, "side", ip, zone, store.address)
	settings["app"], settings["service"], settings["listen"] = u.address, u.service, map[string]string{}
	p, err := d.start(name, ip, settings, "target/acaciaglade-agent", "platform-agent", "--log-format", "json")
	if err == nil {
		p.store = store
	}
	return p, err
}

// sendStreams requests streams one after the other until stop is closed.
func (d *deployment) sendStreams(name string, p *process, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c, err := openChannel(d.callers(p))
		if err != nil {
			continue
		}
		q := &request{
			id: fmt.Sprintf("%s-%d", name, n), method: "POST", path: "/draft/a", key: apiKey, timeout: 8 * time.Second, body: "prompt",
			header: []string{"X-Model: m", "X-Token-Count: 835,159", fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:40,%x:795", name)},
		}
		a := c.exchange(q)
		c.conn.Close()
		d.record.line("%s to %s: %v", q.id, p.name, a)
	}
}
