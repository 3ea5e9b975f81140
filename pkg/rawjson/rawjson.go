// Package rawjson splits JSON documents into undecoded members and elements, so that an element
// that can't be decoded doesn't affect the others.
//
// Package encoding/json rejects a whole document if one element has a syntax error or is nested
// too deeply. Here nesting has no limit, as nothing recurses. An element with a syntax error ends
// where the next element begins, which is recognised by the key of its first member.
package rawjson

import (
	"bytes"
	"cmp"
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrMalformed means that the structure of a document can't be recognised.
var ErrMalformed = errors.New("the document is not the expected JSON; look at its writer")

// Limits of the search for the end of an element with a syntax error.
const (
	// maxRecoveryBytes is the number of bytes that are scanned in vain in one document. Each
	// such element costs at most the rest of the document.
	maxRecoveryBytes = 64 << 20
	// maxTailTries is the number of brackets that are tried as the end of an array whose last
	// element has a syntax error.
	maxTailTries = 16
)

// Members returns the members of an object by key. If the object has a syntax error, it returns
// the members before it, the last of which is the rest of the document if its value has no end.
func Members(doc []byte) (map[string]json.RawMessage, error) {
	members, _, err := splitObject(doc, "")
	return members, err
}

// SplitList returns the elements of the array that is the member of an object with the given
// key, and the other members by key. Elements with a syntax error are included.
func SplitList(doc []byte, key string) ([]json.RawMessage, map[string]json.RawMessage, error) {
	members, elements, err := splitObject(doc, key)
	return elements, members, err
}

// Elements returns the elements of an array. Elements with a syntax error are included.
func Elements(doc []byte) ([]json.RawMessage, error) {
	start := skipSpace(doc, 0)
	if start == len(doc) || doc[start] != '[' {
		return nil, errors.WithStack(ErrMalformed)
	}
	isTail := func(at int) bool { return skipSpace(doc, at) == len(doc) }
	elements, end, ok := splitArray(doc, start, isTail)
	if !ok || !isTail(end) {
		return elements, errors.WithStack(ErrMalformed)
	}
	return elements, nil
}

// splitObject splits an object. The member listKey is split into its elements if it is an array.
func splitObject(doc []byte, listKey string) (map[string]json.RawMessage, []json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	var elements []json.RawMessage
	at := skipSpace(doc, 0)
	if at == len(doc) || doc[at] != '{' {
		return members, nil, errors.WithStack(ErrMalformed)
	}
	isTail := func(at int) bool { return isRestOfObject(doc, at) }
	for at = skipSpace(doc, at+1); at < len(doc) && doc[at] != '}'; {
		key, start, ok := scanKey(doc, at)
		if !ok {
			return members, elements, errors.WithStack(ErrMalformed)
		}
		end := 0
		if key == listKey && start < len(doc) && doc[start] == '[' {
			elements, end, ok = splitArray(doc, start, isTail)
		} else {
			end, ok = scanValue(doc, start)
			members[key] = bytes.Clone(doc[start:end])
		}
		if at, ok = nextMember(doc, end, ok); !ok {
			return members, elements, errors.WithStack(ErrMalformed)
		}
	}
	if at == len(doc) || skipSpace(doc, at+1) != len(doc) {
		return members, elements, errors.WithStack(ErrMalformed)
	}
	return members, elements, nil
}

// nextMember returns the position of the next key or of the end of the object after a value. ok
// states whether the value was scanned to its end.
func nextMember(doc []byte, end int, ok bool) (int, bool) {
	at := skipSpace(doc, end)
	if !ok || at == len(doc) {
		return at, false
	}
	if doc[at] == ',' {
		at = skipSpace(doc, at+1)
		return at, at < len(doc) && doc[at] == '"'
	}
	return at, doc[at] == '}'
}

// isRestOfObject reports whether a document ends with the rest of an object after a value.
func isRestOfObject(doc []byte, at int) bool {
	at, ok := nextMember(doc, at, true)
	for ok && doc[at] != '}' {
		_, start, isKey := scanKey(doc, at)
		if !isKey {
			return false
		}
		end, isValue := scanValue(doc, start)
		at, ok = nextMember(doc, end, isValue)
	}
	return ok && skipSpace(doc, at+1) == len(doc)
}

// splitArray splits the array at a position and returns the position after it. isTail reports
// whether the document can go on at a position after the array.
func splitArray(doc []byte, at int, isTail func(at int) bool) (elements []json.RawMessage, end int, ok bool) {
	at = skipSpace(doc, at+1)
	if at < len(doc) && doc[at] == ']' {
		return nil, at + 1, true
	}
	// prefix is how the elements begin, nil until one without an error was found.
	var prefix []byte
	for scanned := 0; at < len(doc); {
		end, ok := scanValue(doc, at)
		next := skipSpace(doc, end)
		// The brackets of an object with a syntax error can look like the end of the array.
		isEnd := func() bool { return doc[next] == ']' && (doc[at] != '{' || isTail(next+1)) }
		if ok && next < len(doc) && (doc[next] == ',' || isEnd()) {
			elements = append(elements, bytes.Clone(doc[at:end]))
			if prefix == nil {
				prefix = firstKey(doc, at)
			}
			if doc[next] == ']' {
				return elements, next + 1, true
			}
			at = skipSpace(doc, next+1)
			continue
		}
		if scanned += end - at; scanned > maxRecoveryBytes {
			return elements, at, false
		}
		comma, next := findElement(doc, at+1, cmp.Or(string(prefix), string(firstKey(doc, at)), "{"))
		if next < 0 {
			end, ok = findTail(doc, at, isTail)
			return append(elements, bytes.Clone(doc[at:end])), min(end+1, len(doc)), ok
		}
		elements = append(elements, bytes.Clone(doc[at:comma]))
		at = next
	}
	return elements, at, false
}

// firstKey returns the beginning of the object at a position, up to the colon after its first
// key, or nil if there is none.
func firstKey(doc []byte, at int) []byte {
	if doc[at] != '{' {
		return nil
	}
	_, start, ok := scanKey(doc, skipSpace(doc, at+1))
	if !ok {
		return nil
	}
	return bytes.TrimRight(doc[at:start], " \t\r\n")
}

// findElement returns the positions of the next element that begins with a prefix, and of the
// comma before it. The position of the element is negative if there is none.
func findElement(doc []byte, from int, prefix string) (comma, at int) {
	for {
		i := bytes.Index(doc[from:], []byte(prefix))
		if i < 0 {
			return 0, -1
		}
		at = from + i
		if before := bytes.TrimRight(doc[:at], " \t\r\n"); bytes.HasSuffix(before, []byte(",")) {
			return len(before) - 1, at
		}
		from = at + 1
	}
}

// findTail returns the position of the bracket that ends an array whose last element, at from,
// has a syntax error.
func findTail(doc []byte, from int, isTail func(at int) bool) (int, bool) {
	end := len(doc)
	for range maxTailTries {
		i := bytes.LastIndexByte(doc[from:end], ']')
		if i < 0 {
			break
		}
		end = from + i
		if isTail(end + 1) {
			return end, true
		}
	}
	return len(doc), false
}

// scanKey returns the key at a position and the position of its value.
func scanKey(doc []byte, at int) (string, int, bool) {
	end, ok := scanString(doc, at)
	if !ok {
		return "", at, false
	}
	var key string
	if json.Unmarshal(doc[at:end], &key) != nil {
		return "", at, false
	}
	colon := skipSpace(doc, end)
	if colon == len(doc) || doc[colon] != ':' {
		return "", at, false
	}
	return key, skipSpace(doc, colon+1), true
}

// scanValue returns the position after the value at a position. It finds unbalanced brackets and
// characters that don't occur in JSON. If there are any, the value extends to the end of the
// document.
func scanValue(doc []byte, at int) (int, bool) {
	start := at
	var open []byte
	for at < len(doc) {
		switch c := doc[at]; {
		case c == '"':
			end, ok := scanString(doc, at)
			if !ok {
				return len(doc), false
			}
			at = end
		case c == '{' || c == '[':
			open = append(open, c)
			at++
		case c == '}' || c == ']':
			// In ASCII the closing brackets follow the opening ones by 2.
			if len(open) == 0 {
				return at, at > start
			}
			if open[len(open)-1] != c-2 {
				return len(doc), false
			}
			open = open[:len(open)-1]
			at++
		case c == ',' && len(open) == 0:
			return at, at > start
		case isSpace(c) || isScalar[c] || (c == ',' || c == ':') && len(open) > 0:
			at++
			continue
		default:
			return len(doc), false
		}
		if len(open) == 0 {
			return at, true
		}
	}
	return len(doc), len(open) == 0 && at > start
}

// isScalar holds the characters of numbers, true, false and null.
var isScalar = func() (set [256]bool) {
	for _, c := range []byte("+-.0123456789eEtrufalsn") {
		set[c] = true
	}
	return set
}()

// scanString returns the position after the string at a position.
func scanString(doc []byte, at int) (int, bool) {
	if at >= len(doc) || doc[at] != '"' {
		return at, false
	}
	for at++; at < len(doc); at++ {
		switch c := doc[at]; {
		case c == '"':
			return at + 1, true
		case c == '\\':
			at++
		case c < ' ':
			return at, false
		}
	}
	return len(doc), false
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

func skipSpace(doc []byte, at int) int {
	for at < len(doc) && isSpace(doc[at]) {
		at++
	}
	return at
}
