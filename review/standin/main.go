// Command standin runs a case of the review: it starts gateways as processes, stands in
// for the platform, the servers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// run holds what a case uses.
type run struct {
	*fleet
	trouble bool
}

var cases = map[string]func(*run) (broken bool, err error){}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	if _, err := os.Stat("target/baobabstack"); err != nil {
		fmt.Fprintln(os.Stderr, "target/baobabstack is missing; run the build of the deploy file first")
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the gateways:", dir)
	}
	st, err := newStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &run{fleet: &fleet{dir: dir, store: st, rec: rec}, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.stop()
	broken, err := c(r)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("RULE BROKEN")
		return exitBroken
	default:
		rec.say("rule held")
		return exitHeld
	}
}

// servers starts n servers of a service, one zone after the other.
func (r *run) servers(n int, o serverOptions, zones ...string) ([]*server, error) {
	var out []*server
	for i := range n {
		o.zone = zones[i%len(zones)]
		o.id = fmt.Sprintf("i-%s-%d", o.service, i+1)
		s, err := newServer(r.store, r.rec, o)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}
