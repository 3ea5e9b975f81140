// Command review-2 holds the stand-ins and the cases of the second review: it starts the project's
// programs on loopback addresses beside a store, replicas and requesters of its own.
//
//	review-2 CASE BIN RECORD
//
// CASE is the name of a case, BIN the folder of the programs, RECORD the file for what was sent,
// answered and run. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// theCases are the cases by name. Each returns whether the rule held, and a line about it.
var theCases = map[string]func(d *deployment, trouble bool) (bool, string, error){
	"ranks":    caseRanks,
	"report":   caseReport,
	"unframed": caseUnframed,
	"frozen":   caseFrozen,
	"glued":    caseGlued,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		runPlainReplica(os.Args[2])
		return
	}
	if len(os.Args) != 4 || theCases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE BIN RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, bin, record string) int {
	log, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer log.close()
	d, err := newDeployment(log, bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.stop()
	ok, what, err := theCases[name](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case ok:
		log.add("held: %s", what)
		fmt.Println("held:", what)
		return held
	default:
		log.add("BROKEN: %s", what)
		fmt.Println("BROKEN:", what)
		return broken
	}
}
