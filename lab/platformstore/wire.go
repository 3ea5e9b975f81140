package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// appendObject appends an object in its wire format. The spec is appended as it is: other
// writers may have left bytes that are no JSON.
func appendObject(out []byte, o *Object) []byte {
	// Marshalling a struct of texts and numbers can't fail.
	metadata, _ := json.Marshal(o.Metadata)
	out = append(append(out, `{"metadata":`...), metadata...)
	for _, part := range []struct {
		key string
		raw json.RawMessage
	}{{"spec", o.Spec}, {"status", o.Status}} {
		if part.raw != nil {
			out = append(append(append(out, `,"`...), part.key...), `":`...)
			out = append(out, part.raw...)
		}
	}
	return append(out, '}')
}

// writeObject responds with an object.
func writeObject(w http.ResponseWriter, status int, o *Object) {
	writeRaw(w, status, appendObject(nil, o))
}

// writePage responds with a page of objects.
func writePage(w http.ResponseWriter, items []Object, more bool, revision uint64) {
	out := append(strconv.AppendUint([]byte(`{"as-of":`), revision, 10), `,"items":[`...)
	for i := range items {
		if i > 0 {
			out = append(out, ',')
		}
		out = appendObject(out, &items[i])
	}
	out = append(strconv.AppendBool(append(out, `],"more":`...), more), '}')
	writeRaw(w, http.StatusOK, out)
}

// writeEvents responds with the events of a watch.
func writeEvents(w http.ResponseWriter, events []event, revision uint64) {
	out := append(strconv.AppendUint([]byte(`{"as-of":`), revision, 10), `,"events":[`...)
	for i := range events {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(strconv.AppendBool(append(out, `{"removed":`...), events[i].Removed), `,"object":`...)
		out = append(appendObject(out, &events[i].Object), '}')
	}
	writeRaw(w, http.StatusOK, append(out, `]}`...))
}

func writeRaw(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only if the caller has closed the connection.
	_, _ = w.Write(body)
}
