package operator

import (
	"fmt"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Environments that the API names. Production changes only by promotion.
const (
	Trial      = "trial"
	Production = "production"
)

// Document is the stored document of an environment.
type Document struct {
	Environment string `json:"environment"`
	Version     uint64 `json:"version"`
	Author      string `json:"author"`
	// Accepted is the acceptance time in RFC 3339.
	Accepted string `json:"accepted"`
	// Source is the version of trial that was promoted, 0 if there is none.
	Source uint64 `json:"source,omitempty"`
	Text   string `json:"text"`
}

// Accepted is the response to a change.
type Accepted struct {
	Environment string `json:"environment"`
	Version     uint64 `json:"version"`
	WriteID     string `json:"write_id"`
	// ReadBack says that the store's response to the write was lost, and that the
	// write was found by reading the object back.
	ReadBack bool `json:"read_back,omitempty"`
}

// Winner is the accepted change that caused a conflict.
type Winner struct {
	Version  uint64 `json:"version"`
	Author   string `json:"author"`
	Accepted string `json:"accepted"`
}

// Problem is the response to a refused command. It is an error.
type Problem struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail"`
	// Faults are set for an invalid document.
	Faults []document.Fault `json:"faults,omitempty"`
	// Winner is set for a conflict, if the object exists.
	Winner *Winner `json:"winner,omitempty"`
}

func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.Code.String())
	if p.Detail != "" {
		b.WriteString(": " + p.Detail)
	}
	for _, fault := range p.Faults {
		b.WriteString("\n" + fault.String())
	}
	if p.Winner != nil {
		fmt.Fprintf(&b, "; version %d by %s was accepted at %s", p.Winner.Version, p.Winner.Author, p.Winner.Accepted)
	}
	return b.String()
}

func problem(code result.Code, format string, args ...any) *Problem {
	return &Problem{Code: code, Detail: fmt.Sprintf(format, args...)}
}
