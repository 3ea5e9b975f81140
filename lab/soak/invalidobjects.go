package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// invalidUpstreams are the specs of objects that another writer leaves among those of the upstreams.
// None describes an upstream. BORN stands for a start time in Unix milliseconds.
var invalidUpstreams = []string{
	strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
	strings.Repeat(`{"a":`, 12_000) + "0" + strings.Repeat("}", 12_000),
	`{"service":"writers","address":"127.0`,
	"\xff\xfe",
	`null`,
	`{"service":"writers","address":"127.0.0.1:65536","zone":"z0","slots":6,"state":"ready","born":BORN}`,
	`{"service":"writers","address":"127.0.0.1:http","zone":"z0","slots":6,"state":"ready","born":BORN}`,
	`{"service":"desk-a","address":"127.0.0.1:0","zone":"z0","slots":6,"state":"ready","born":BORN}`,
	`{"service":"desk-a","address":"127.0.0.1:1","zone":"z0","slots":1e400,"state":"ready","born":BORN}`,
	`{"service":"writers","address":"127.0.0.1:1","zone":"z0","slots":6,"state":"ready","born":BORN,"group":{"name":"g","epoch":1,"rank":-1,"state":"open"},"size":3}`,
	`{"service":"writers","address":"127.0.0.1:1","zone":"z0","slots":6,"state":"ready","born":BORN,"group":{"name":"g","epoch":1,"rank":1e30,"state":"open"},"size":3}`,
}

// firstReadableInvalid is the index of the first one that is JSON of a usual depth.
const firstReadableInvalid = 4

// addInvalidUpstreams adds n random objects of another writer to the store, and returns a function
// that removes them. Their names lie among those of the upstreams.
func (d *deployment) addInvalidUpstreams(r *rand.Rand, n int) func() {
	var names []string
	for range n {
		name := fmt.Sprintf("i-%c-%d", 'a'+r.IntN(26), r.IntN(1000))
		names = append(names, name)
		d.addInvalidUpstream(name, randomElement(r, invalidUpstreams))
	}
	return func() {
		for _, name := range names {
			d.store.Remove("servers", name)
		}
	}
}

func (d *deployment) addInvalidUpstream(name, spec string) {
	born := strconv.FormatInt(time.Now().UnixMilli(), 10)
	d.store.PutRaw("servers", name, json.RawMessage(strings.ReplaceAll(spec, "BORN", born)))
}
