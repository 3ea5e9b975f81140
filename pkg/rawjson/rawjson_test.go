package rawjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// nested returns an object with arrays nested to a depth.
func nested(depth int) string {
	return `{"metadata":{"name":"invalid"},"spec":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`
}

// invalidElements are elements as another writer may leave them.
var invalidElements = map[string]string{
	"nested 9,000 deep":       nested(9_000),
	"nested 1,000,000 deep":   nested(1_000_000),
	"cut off in a string":     `{"metadata":{"name":"invalid"},"spec":{"address":"10.0`,
	"cut off in an object":    `{"metadata":{"name":"invalid"},"spec":{"slots":`,
	"a bracket too many":      `{"metadata":{"name":"invalid"},"spec":{}]}`,
	"the wrong bracket":       `{"metadata":{"name":"invalid"},"spec":[}}`,
	"not a number":            `{"metadata":{"name":"invalid"},"spec":NaN}`,
	"bytes that are no JSON":  "\xff\xfe\x00",
	"a line break in a text":  "{\"metadata\":{\"name\":\"invalid\"},\"spec\":\"a\nb\"}",
	"null":                    `null`,
	"a number":                `1e400`,
	"a text with the marker":  `{"metadata":{"name":"invalid"},"spec":",{\"metadata\":"}`,
	"a key twice":             `{"metadata":{"name":"invalid"},"metadata":{"name":"invalid"}}`,
	"deep and cut off":        `{"metadata":{"name":"invalid"},"spec":` + strings.Repeat("[", 1_000_000),
	"a text of a million":     `{"metadata":{"name":"invalid"},"spec":"` + strings.Repeat("x", 1_000_000) + `"}`,
	"a key without a value":   `{"metadata":{"name":"invalid"},"spec"}`,
	"the end of a document":   `{"metadata":{"name":"invalid"},"spec":"state":"ready"}]}}`,
	"the end of two lists":    `{"metadata":{"name":"invalid"},"spec":1}]},{"a":[2]}]}}`,
	"without the last quotes": `{"metadata":{"name":"invalid"},"spec":{"state":"ready}}`,
}

// TestInvalidElementKeepsTheOthers guards against a list that can't be read because of one element.
// Its neighbours and the members after the list must be found, within bounded time.
func TestInvalidElementKeepsTheOthers(t *testing.T) {
	good := func(name string) string {
		return fmt.Sprintf(`{"metadata":{"name":%q},"spec":{"a":["]",{"b":"}"}]}}`, name)
	}
	for name, invalid := range invalidElements {
		for at := range 3 {
			list := []string{good("a"), good("b")}
			list = append(list[:at:at], append([]string{invalid}, list[at:]...)...)
			for _, separator := range []string{",", " ,\n "} {
				doc := `{"revision":7,"items":[` + strings.Join(list, separator) + `],"more":true}`
				start := time.Now()
				elements, members, err := SplitList([]byte(doc), "items")
				if took := time.Since(start); took > 2*time.Second {
					t.Errorf("%s at %d: took %v", name, at, took)
				}
				if err != nil || string(members["more"]) != "true" || string(members["revision"]) != "7" {
					t.Errorf("%s at %d: members %q, %v", name, at, members, err)
				}
				found := map[string]bool{}
				for _, e := range elements {
					found[string(e)] = true
				}
				if !found[list[(at+1)%3]] || !found[list[(at+2)%3]] || len(elements) != 3 {
					t.Errorf("%s at %d: %d elements, neighbours found: %v, %v", name, at, len(elements), found[list[(at+1)%3]], found[list[(at+2)%3]])
				}
			}
		}
	}
}

// TestManyInvalidElementsKeepTheOthers guards against a list that can't be read because many of
// its elements are cut off.
func TestManyInvalidElementsKeepTheOthers(t *testing.T) {
	for name, invalid := range invalidElements {
		if len(invalid) > 1000 || !strings.HasPrefix(invalid, "{") {
			continue
		}
		var list []string
		for i := range 300 {
			list = append(list, invalid, fmt.Sprintf(`{"metadata":{"name":"good-%d"}}`, i))
		}
		elements, members, err := SplitList([]byte(`{"items":[`+strings.Join(list, ",")+`],"more":false}`), "items")
		good := 0
		for _, e := range elements {
			if bytes.HasPrefix(e, []byte(`{"metadata":{"name":"good-`)) && bytes.HasSuffix(e, []byte(`}}`)) {
				good++
			}
		}
		if err != nil || good != 300 || string(members["more"]) != "false" {
			t.Errorf("%s: %d good elements of %d, members %q, %v", name, good, len(elements), members, err)
		}
	}
}

// TestMembersOfBrokenObject reads the members before a syntax error: they tell whose object it is.
func TestMembersOfBrokenObject(t *testing.T) {
	for name, invalid := range invalidElements {
		if !strings.HasPrefix(invalid, "{") {
			continue
		}
		members, _ := Members([]byte(invalid))
		if string(members["metadata"]) != `{"name":"invalid"}` {
			t.Errorf("%s: metadata %.40q", name, members["metadata"])
		}
	}
}

// TestManyBrokenElements checks that a document of broken elements only is given up in bounded
// time.
func TestManyBrokenElements(t *testing.T) {
	doc := `{"items":[` + strings.Repeat(`{"metadata":[{},`, 200_000) + `]}`
	start := time.Now()
	if _, _, err := SplitList([]byte(doc), "items"); err == nil {
		t.Error("the document was accepted")
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("took %v", took)
	}
}

// TestMalformedDocuments checks that a document without the expected structure is an error.
func TestMalformedDocuments(t *testing.T) {
	for _, doc := range []string{"", "null", "[", `{"items":[}`, `{"items":[1,2]`, `{"items":[1,2]} x`, `{"items"}`, `{"items":[1`, `{items:[]}`} {
		if elements, _, err := SplitList([]byte(doc), "items"); err == nil {
			t.Errorf("%q gave %q", doc, elements)
		}
	}
	for _, doc := range []string{"", "{}", "[1", "[1]]", "null"} {
		if elements, err := Elements([]byte(doc)); err == nil {
			t.Errorf("%q gave %q", doc, elements)
		}
	}
}

// FuzzSplit compares the elements and members with those of encoding/json.
func FuzzSplit(f *testing.F) {
	for _, invalid := range invalidElements {
		if len(invalid) < 1000 {
			f.Add([]byte(`{"items":[` + invalid + `,{"metadata":{}}],"more":false}`))
			f.Add([]byte(`[` + invalid + `]`))
		}
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		elements, members, err := SplitList(doc, "items")
		var want struct {
			Items []json.RawMessage `json:"items"`
		}
		var all map[string]json.RawMessage
		if json.Unmarshal(doc, &all) == nil && all != nil {
			if err != nil {
				t.Fatalf("valid JSON %q: %v", doc, err)
			}
			if raw, ok := all["items"]; ok && json.Unmarshal([]byte(`{"items":`+string(raw)+`}`), &want) == nil {
				compare(t, elements, want.Items)
			}
			for key := range members {
				if _, ok := all[key]; !ok {
					t.Errorf("member %q of %q", key, doc)
				}
			}
		}
		var list []json.RawMessage
		elements, err = Elements(doc)
		if json.Unmarshal(doc, &list) == nil && list != nil {
			if err != nil {
				t.Fatalf("valid JSON %q: %v", doc, err)
			}
			compare(t, elements, list)
		}
	})
}

func compare(t *testing.T, got, want []json.RawMessage) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("elements %q, want %q", got, want)
	}
	for i := range got {
		if !bytes.Equal(bytes.TrimSpace(got[i]), bytes.TrimSpace(want[i])) {
			t.Errorf("element %d is %q, want %q", i, got[i], want[i])
		}
	}
}
