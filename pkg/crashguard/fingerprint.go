package crashguard

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
)

// fingerprintBytes is the length of a fingerprint: enough that no two requests share one.
const fingerprintBytes = 16

// fingerprint returns what all requests of an organisation with the same method, host, path, query
// and body have in common, whatever their IDs. It is keyed, so that nobody without the key can
// check a guess at a body that appears in logs, reports or the store only as its fingerprint.
func fingerprint(key string, r *pipe.Request) string {
	h := hmac.New(sha256.New, []byte(key))
	for _, field := range []string{r.Organisation.Name, r.Method, r.Host, r.Path, r.Query} {
		writeField(h, []byte(field))
	}
	writeField(h, r.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// writeField adds a field with its length, so that fields can't be shifted into each other.
func writeField(h hash.Hash, field []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	// A hash never returns an error.
	_, _ = h.Write(size[:])
	_, _ = h.Write(field)
}
