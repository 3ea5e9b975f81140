// Command standins runs a case of the review: it starts the project's programs on loopback
// addresses beside stand-ins of the platform, disturbs them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases holds the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(record *recorder, trouble bool) (int, error){
	"answer":     runAnswer,
	"evacuate":   runEvacuate,
	"map":        runMap,
	"revoke":     runRevoke,
	"stop":       runStop,
	"unreadable": runUnreadable,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return cannotRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		endProcesses()
		os.Exit(cannotRun)
	}()
	record, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %v", name, trouble)
	n, err := run(record, trouble)
	switch {
	case err != nil:
		record.line("the case couldn't run: %v", err)
		return cannotRun
	case n > 0:
		record.line("RESULT: the rule was broken %d times", n)
		return broken
	default:
		record.line("RESULT: the rule held")
		return held
	}
}
