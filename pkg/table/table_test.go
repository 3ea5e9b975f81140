package table

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

func TestCheckReportsEveryInvalidCell(t *testing.T) {
	hash := HashToken("secret")
	cellErrors := Check(&Table{
		Organisations: []Organisation{
			{Name: "good", TokenHash: hash, Weight: 1},
			{Name: "bad name", TokenHash: "short", Weight: 0, Ceiling: -1},
			{Name: "good", TokenHash: hash, Weight: 1},
		},
		Services: []Service{
			{Name: "m", Kind: "model"},
			{Name: "s", Kind: "queue", IdempotentPaths: []string{"/ok", "no-slash"}},
		},
		FailureDomains: []FailureDomain{{Name: ""}},
		Upstreams:      []UpstreamMark{{Name: "u"}, {Name: "u"}},
	})
	want := []string{
		"organisations 2 name", "organisations 2 token_hash", "organisations 2 weight", "organisations 2 ceiling",
		"organisations 3 name", "organisations 3 token_hash", "services 2 kind", "services 2 idempotent_paths",
		"failure_domains 1 name", "upstreams 2 name",
	}
	var got []string
	for _, e := range cellErrors {
		got = append(got, strings.Join([]string{e.Sheet, string(rune('0' + e.Row)), e.Column}, " "))
		if e.Remedy == "" {
			t.Errorf("%s has no remedy", e)
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("invalid cells\ngot  %q\nwant %q", got, want)
	}
}

func TestReadCSVReportsEveryInvalidCell(t *testing.T) {
	text := "name,token_hash,weight,ceiling,priority\na,x,one,2,maybe\nb,x,1\nc,x,1,2,true\n"
	organisations, cellErrors := ReadCSV(strings.NewReader(text))
	var got []string
	for _, e := range cellErrors {
		got = append(got, e.Column+"="+e.Value)
	}
	if want := []string{"weight=one", "priority=maybe", "row=b,x,1"}; !slices.Equal(got, want) {
		t.Errorf("cell errors %q, want %q", got, want)
	}
	if last := organisations[len(organisations)-1]; last.Name != "c" || !last.Priority {
		t.Errorf("last row is %+v, want organisation c with priority", last)
	}
}

// FuzzReadCSV checks that organisations that are read without errors are the same after
// they have been written and read again.
func FuzzReadCSV(f *testing.F) {
	f.Add("name,token_hash,weight,ceiling,priority\na,x,1,2,true\n")
	f.Add("name,token_hash,weight,ceiling,priority\n\"a\nb\",\"x,\"\"y\",1,2,0\n")
	f.Add("name,weight\n")
	f.Add("name,token_hash,weight,ceiling,priority\na,\"x,1,2,true\n")
	f.Fuzz(func(t *testing.T, text string) {
		organisations, cellErrors := ReadCSV(strings.NewReader(text))
		if cellErrors != nil || len(Check(&Table{Organisations: organisations})) > 0 {
			return
		}
		var out bytes.Buffer
		if err := WriteCSV(&out, organisations); err != nil {
			t.Fatal(err)
		}
		again, cellErrors := ReadCSV(&out)
		if cellErrors != nil || !slices.Equal(again, organisations) {
			t.Errorf("%q was read as %+v, after a round trip as %+v with errors %v", text, organisations, again, cellErrors)
		}
	})
}
