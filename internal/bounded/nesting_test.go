package bounded

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// Guards against a limit that changes what is not nested too deep, or that cuts
// at brackets inside strings.
func TestLimitNesting(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":[1,2]}`:                   `{"a":[1,2]}`,
		`{"a":[[1],2,{"b":3}],"c":4}`:   `{"a":[null,2,null],"c":4}`,
		`{"a":"[[[{{{","b":"\"[[[\\"}`:  `{"a":"[[[{{{","b":"\"[[[\\"}`,
		`[[[[["]]]]]"]]],1],{"x":"}"}]`: `[[null,1],{"x":"}"}]`,
		`[[[`:                           `[[[`,
		`]]]`:                           `]]]`,
		``:                              ``,
	} {
		if got := LimitNesting([]byte(text), 2); string(got) != want {
			t.Errorf("LimitNesting(%s) = %s, want %s", text, got, want)
		}
	}
	const deep = 200_000
	text := `{"items":[{"good":1},` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `,{"good":2}]}`
	var page struct{ Items []json.RawMessage }
	if err := json.Unmarshal(LimitNesting([]byte(text), 16), &page); err != nil || len(page.Items) != 3 {
		t.Errorf("%d items, %v; want 3", len(page.Items), err)
	}
}

// Guards against a limit that makes valid JSON invalid.
func FuzzLimitNesting(f *testing.F) {
	for _, seed := range []string{`{"a":[[1],2]}`, `"\\\""`, `[[[[`, `[{"x":["]"]}]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		before := bytes.Clone(text)
		got := LimitNesting(text, 3)
		if !bytes.Equal(text, before) {
			t.Fatal("the text was changed")
		}
		if json.Valid(text) && !json.Valid(got) {
			t.Fatalf("%q became %q", text, got)
		}
	})
}
