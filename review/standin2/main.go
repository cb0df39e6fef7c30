//go:build review2

// Command case runs one case of the review: gateways as processes on loopback, between a
// store, servers and clients that do what the users' pages say.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit statuses of a case.
const (
	held     = 0 // the rule held
	broken   = 1 // the rule was broken
	couldNot = 2 // the case could not run
)

var cases = map[string]func(w *world, trouble bool) (int, error){
	"foreign-memory": foreignMemory, "pipeline": pipeline, "foreign-watch": foreignWatch, "endless-head": endlessHead,
}

func main() {
	runtime.LockOSThread() // the gateways end with the thread that started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		os.Exit(couldNot)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	code, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = couldNot
	}
	w.rec.line("result: %d", code)
	w.end()
	os.Exit(code)
}
