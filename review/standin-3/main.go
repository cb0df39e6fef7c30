// Command standin3 plays the cases of the third review: it starts gateways as processes on
// loopback addresses, with stand-ins of the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	held, broken, couldNotRun = 0, 1, 2
)

// bench holds what a case works with.
type bench struct {
	trouble bool
	record  *os.File
	began   time.Time
	dir     string // temporary
	store   *store
	all     []*gateway

	mu     sync.Mutex
	runs   []run
	bad    int
	served int
}

// note writes a line to record.txt.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bench) onRun(r run) {
	b.mu.Lock()
	b.runs = append(b.runs, r)
	b.mu.Unlock()
	b.note("ran       %s at %s (%s): %s %s", r.id, r.server, r.service, r.method, r.path)
}

// ranAt returns the services that ran a request.
func (b *bench) ranAt(id string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, r := range b.runs {
		if r.id == id {
			out = append(out, r.service)
		}
	}
	return out
}

// violation notes that the rule is broken.
func (b *bench) violation(format string, args ...any) {
	b.mu.Lock()
	b.bad++
	b.mu.Unlock()
	b.note("BROKEN    "+format, args...)
}

// startAll starts all gateways and waits until they are ready.
func (b *bench) startAll() error {
	for _, g := range b.all {
		if err := g.start(); err != nil {
			return err
		}
		b.note("start     %s at %s", g.name, g.front())
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, g := range b.all {
			if g.ready() {
				n++
			}
		}
		if n == len(b.all) {
			b.note("ready     all gateways")
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}

var cases = map[string]func(*bench) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER, in the repository")
		os.Exit(couldNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*bench) error, folder string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNotRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(), dir: dir}
	b.note("trouble: %v", b.trouble)
	if b.store, err = startStore("127.0.0.1:0"); err != nil {
		return fail(err)
	}
	defer func() {
		for _, g := range b.all {
			g.kill()
		}
	}()
	if err := run(b); err != nil {
		b.note("could not run: %v", err)
		return fail(err)
	}
	b.note("end: %d violations", b.bad)
	fmt.Printf("%d violations\n", b.bad)
	if b.bad > 0 {
		return broken
	}
	return held
}
