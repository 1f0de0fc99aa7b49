package main

import (
	"fmt"
	"os"
	"time"
)

// A case returns whether its rule was broken. An error means that it couldn't run.
type caseFunc func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"early":   uploadAnsweredEarly,
	"prefix":  encodedSlash,
	"smuggle": smuggledInBody,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		return exitFailed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	rec := &record{file: file, began: time.Now()}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitFailed
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
