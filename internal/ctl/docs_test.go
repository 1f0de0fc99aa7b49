package ctl

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
)

// Guards against an exit code or a status field that the operators' guide
// doesn't describe.
func TestGuideHasEveryExitCodeAndStatusField(t *testing.T) {
	text, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, exit := range exitTable {
		want = append(want, fmt.Sprintf("| %d | %s |", exit.Code, exit.Meaning))
	}
	for _, field := range jsonFields(reflect.TypeFor[operator.Status]()) {
		want = append(want, "`"+field+"`")
	}
	for _, line := range want {
		if !strings.Contains(string(text), line) {
			t.Errorf("docs/operators.md lacks %s", line)
		}
	}
}

func jsonFields(typ reflect.Type) []string {
	if typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(append(names, name), jsonFields(field.Type)...)
	}
	return names
}
