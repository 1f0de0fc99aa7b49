package inidoc

import "testing"

// Guards against a panic on a key without a value.
func TestEmptyValue(t *testing.T) {
	sections, _, err := Parse("[a]\nx =\ny = 1\n")
	if err != nil || len(sections) != 1 || sections[0].Keys[0].Value != "" || sections[0].Keys[1].Value != "1" {
		t.Errorf("sections %+v, error %v", sections, err)
	}
}
