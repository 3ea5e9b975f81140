package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times and values of the revoke case.
const (
	revokeTime    = 5 * time.Second
	revokedKey    = "anfqasnmgkcuyj8pjbvk"
	revokeChecks  = 20
	revokeGap     = 200 * time.Millisecond
	meanPrompt    = 835.0
	newMeanPrompt = 835.4
	meanAnswer    = 159
)

// engineConfig returns a configuration with one service of model replicas. meanPrompt is the mean
// number of prompt tokens that the operator has measured.
func engineConfig(meanPrompt float64, keys ...string) map[string]any {
	config := plainConfig()
	config["services"] = []any{map[string]any{
		"name": "writers", "health-path": "/health", "max-conns": 408, "protocol": "h1", "tls": false, "cold-s": 3.0, "cold-per-s": 36.0,
		"engine": map[string]any{
			"slots": 12, "kv-capacity": 494000, "kv-token-bytes": 35136, "link-mbps": 180000.0, "stride": 6, "models": []any{map[string]any{"name": "m"}},
			"step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512, "report_lag_ms": 200.0,
			"usual": map[string]any{"prompt": meanPrompt, "answer": meanAnswer},
		},
	}}
	config["tenants"] = []any{
		map[string]any{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1},
		map[string]any{"name": "kive114", "api-keys": keys, "priority": 1},
	}
	return config
}

// runRevoke takes a key away with a version of the configuration whose mean number of prompt
// tokens is a fraction. It returns the number of requests that ran with the key later than
// revoke-ms after the store had accepted that version.
func runRevoke(record *recorder, trouble bool) (int, error) {
	d, err := newDeployment(record, engineConfig(meanPrompt, revokedKey))
	if err != nil {
		return 0, err
	}
	defer d.close()
	serve := func(u *upstream, w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "status")
	}
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := d.startUpstream(fmt.Sprintf("i-%d", i), "writers", zone, 12, serve); err != nil {
			return 0, err
		}
	}
	entries, err := d.startEntries(2)
	if err != nil {
		return 0, err
	}
	time.Sleep(contactTime)
	send := func(id string, p *process) error {
		c, err := openChannel(d.callers(p))
		if err != nil {
			return err
		}
		defer c.conn.Close()
		q := &request{id: id, method: "GET", path: "/short/a", key: revokedKey, timeout: time.Second}
		record.line("%s with the key of kive114 to %s: %v", id, p.name, c.exchange(q))
		return nil
	}
	if err := send("before-0", entries[0]); err != nil {
		return 0, err
	}
	mean := meanPrompt
	if trouble {
		mean = newMeanPrompt
	}
	version := d.version
	d.config = engineConfig(mean)
	d.version = version
	ackedAt := d.writeConfig()
	record.line("the store accepts version %d, which takes the key of kive114 away; its mean prompt has %v tokens", d.version, mean)
	time.Sleep(time.Until(ackedAt.Add(revokeTime + 500*time.Millisecond)))
	broken := 0
	for n := range revokeChecks {
		id := fmt.Sprintf("after-%d", n)
		sentAt := time.Now()
		if err := send(id, entries[n%len(entries)]); err != nil {
			return 0, err
		}
		if d.wasRun(id) {
			broken++
			record.line("BROKEN: %s was sent %.1f s after the ack and has run", id, sentAt.Sub(ackedAt).Seconds())
		}
		time.Sleep(revokeGap)
	}
	return broken, nil
}
