package settings

import (
	"fmt"
	"io"
)

// Write prints the effective settings as a settings file and marks default values.
func (s *Settings) Write(w io.Writer) error {
	section := ""
	for _, key := range table {
		if key.Section != section {
			section = key.Section
			if _, err := fmt.Fprintf(w, "[%s]\n", section); err != nil {
				return fmt.Errorf("write settings: %w", err)
			}
		}
		if _, err := io.WriteString(w, s.formatKey(key)); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	return nil
}

func (s *Settings) formatKey(key Key) string {
	value := key.format(s)
	switch {
	case value == "":
		return fmt.Sprintf("; %s is not set\n", key.Name)
	case s.defaulted[key.Section+"."+key.Name]:
		return fmt.Sprintf("%s = %s ; default\n", key.Name, value)
	default:
		return fmt.Sprintf("%s = %s\n", key.Name, value)
	}
}
