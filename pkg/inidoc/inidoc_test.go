package inidoc

import "testing"

// Guards against errors that report the wrong line and against a duplicate key
// that replaces an earlier value without an error.
func TestParseKeepsLinesAndReportsDuplicates(t *testing.T) {
	text := "; comment\n[a]\nx = 1\nx = 2\n\n[b]\ny = 4 Gbit/s ; unit\n[a]\nx = 3\n"
	sections, duplicates, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if len(sections) != 3 || sections[1].Line != 6 || sections[1].Keys[0].Line != 7 {
		t.Fatalf("sections %+v", sections)
	}
	if got := sections[1].Keys[0].Value; got != "4 Gbit/s" {
		t.Errorf("value %q", got)
	}
	if got := sections[0].Keys[0].Value; got != "1" {
		t.Errorf("first value %q", got)
	}
	if got := sections[2].Keys[0].Value; got != "3" {
		t.Errorf("value in the second section of the name: %q", got)
	}
	if len(duplicates) != 2 || duplicates[0].Line != 4 || duplicates[1].Line != 8 {
		t.Errorf("duplicates %+v", duplicates)
	}
}
