package ctl

import (
	"errors"
	"fmt"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Exit codes.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitInvalid    = 3
	ExitConflict   = 4
	ExitStore      = 5
	ExitUnresolved = 6
	ExitNotFound   = 7
	ExitTimeout    = 8
)

// exitTable describes the exit codes in order. Result is the agent's result code
// that is mapped to the exit code, 0 if there is none.
var exitTable = []struct {
	Code    int
	Result  result.Code
	Meaning string
}{
	{ExitOK, 0, "The command was carried out."},
	{ExitFailed, 0, "No agent answered, or a file could not be read."},
	{ExitUsage, result.BadCommand, "The command line is not valid; nothing was changed."},
	{ExitInvalid, result.DocumentInvalid, "The document has faults, all of which are listed; nothing was changed."},
	{ExitConflict, result.Conflict, "Another change was accepted first; nothing was changed. The winner is named."},
	{ExitStore, result.StoreUnavailable, "The store is down; nothing was changed."},
	{ExitUnresolved, result.WriteUnresolved, "The change may have taken effect; run status or diff before anything else."},
	{ExitNotFound, result.NotFound, "There is no such document, server or code."},
	{ExitTimeout, result.WaitTimeout, "The awaited state was not reached in time."},
}

func exitCode(err error) int {
	var usage usageError
	var faults inicheck.Faults
	if errors.As(err, &usage) {
		return ExitUsage
	}
	if errors.As(err, &faults) {
		return ExitInvalid
	}
	p, ok := asProblem(err)
	if !ok {
		return ExitFailed
	}
	for _, exit := range exitTable {
		if exit.Result != 0 && exit.Result == p.Code {
			return exit.Code
		}
	}
	return ExitFailed
}

func exitHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:")
	for _, exit := range exitTable {
		fmt.Fprintf(&b, "\n   %d  %s", exit.Code, exit.Meaning)
	}
	return b.String()
}
