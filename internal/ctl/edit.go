package ctl

import (
	"fmt"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/pkg/inidoc"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// setDrain sets the key drain of one server. Comments, spelling and order of all
// other lines stay unchanged.
func setDrain(text, server string, drain bool) (string, error) {
	sections, _, err := inidoc.Parse(text)
	if err != nil {
		return "", err
	}
	for _, section := range sections {
		words := strings.Fields(section.Name)
		if len(words) == 2 && words[0] == "server" && words[1] == server {
			return editSection(text, section, drain), nil
		}
	}
	return "", &operator.Problem{Code: result.NotFound, Detail: fmt.Sprintf("the document has no server %q", server)}
}

func editSection(text string, section inidoc.Section, drain bool) string {
	lines := strings.SplitAfter(text, "\n")
	if key, ok := section.Get("drain"); ok {
		lines[key.Line-1] = replaceValue(lines[key.Line-1], key.Value, fmt.Sprint(drain))
		return strings.Join(lines, "")
	}
	if !drain {
		return text
	}
	lastLineNumber := section.Line
	for _, key := range section.Keys {
		lastLineNumber = max(lastLineNumber, key.Line)
	}
	lastLine := lines[lastLineNumber-1]
	content := strings.TrimRight(lastLine, "\r\n")
	ending := lastLine[len(content):]
	if ending == "" {
		ending = "\n"
	}
	indent := content[:len(content)-len(strings.TrimLeft(content, " \t"))]
	lines[lastLineNumber-1] = content + ending + indent + "drain = true" + lastLine[len(content):]
	return strings.Join(lines, "")
}

// replaceValue replaces the value after the delimiter and keeps the remainder of
// the line, including a comment.
func replaceValue(line, old, value string) string {
	start := strings.IndexAny(line, "=:") + 1
	return line[:start] + strings.Replace(line[start:], old, value, 1)
}
