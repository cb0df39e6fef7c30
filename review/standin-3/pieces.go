package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pieces"] = pieces }

// maxFDs is the number of descriptors that the settings give a machine.
const maxFDs = 4100

// ordinaryCallers is the number of ordinary callers, more than the seven that RECOVER asks for.
const ordinaryCallers = 10

// statusMB returns a figure of /proc/PID/status in MB.
func statusMB(pid int, name string) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// startOne starts one gateway in front of the servers of the service boxfinder.
func (b *bench) startOne() error {
	var err error
	if b.all, err = newGateways(b.dir, b.store.address, []string{"modjo"}); err != nil {
		return err
	}
	b.store.put("op/config", configuration(1, []string{"boxfinder"}, route("check", host, "/check/", "safe", "boxfinder", 2)))
	for n := range 15 {
		s, err := startBackend(fmt.Sprintf("i-boxfinder-%d", n), "boxfinder", "modjo", "127.0.0.1:0", 160*time.Millisecond, func(run) {})
		if err != nil {
			return err
		}
		b.store.put(s.key(), s.entry(0))
	}
	return b.startAll()
}

// ordinary lets ordinary callers send one small request after the other, each on a new
// connection, until stop is set. It calls answered with each answer.
func (b *bench) ordinary(stop *atomic.Bool, answered func(attempt)) *sync.WaitGroup {
	var group sync.WaitGroup
	for n := range ordinaryCallers {
		group.Go(func() {
			for !stop.Load() {
				a := send(b.all[0].front(), "GET", host, "/check/box", "", 1200*time.Millisecond)
				b.note("ordinary  caller %d %s: %d after %d ms %v", n, a.id, a.status, a.took.Milliseconds(), a.err)
				answered(a)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	return &group
}

// pieces plays callers that send bodies of legal size piece by piece and stay. The check is
// that a gateway which says that it is ready takes new connections of ordinary callers.
func pieces(b *bench) error {
	const callers, bodyBytes, pieceBytes, pause = 2300, 1_000_000, 100, 500 * time.Millisecond
	if err := b.startOne(); err != nil {
		return err
	}
	g := b.all[0]
	var stop atomic.Bool
	var crowd sync.WaitGroup
	var open atomic.Int64
	if b.trouble {
		for range callers {
			crowd.Go(func() {
				for !stop.Load() {
					b.sendPieces(g.front(), bodyBytes, pieceBytes, pause, &stop, &open)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		for end := time.Now().Add(8 * time.Second); open.Load() < maxFDs/2 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		}
		b.note("crowd     %d connections", open.Load())
		if open.Load() < maxFDs/4 {
			return fmt.Errorf("only %d connections could be opened", open.Load())
		}
	}
	var mu sync.Mutex
	var ordinary atomic.Bool
	last, longest, tried, answers := time.Now(), time.Duration(0), 0, 0
	readyAll := true
	group := b.ordinary(&ordinary, func(a attempt) {
		mu.Lock()
		defer mu.Unlock()
		tried++
		if a.status != 0 {
			answers++
			longest, last = max(longest, time.Since(last)), time.Now()
		}
	})
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		ready := g.ready()
		readyAll = readyAll && ready
		b.note("ready     %v; the crowd has %d connections; %.0f MB", ready, open.Load(), statusMB(g.cmd.Process.Pid, "VmRSS"))
	}
	mu.Lock()
	longest = max(longest, time.Since(last))
	b.note("ordinary  %d requests of %d callers on new connections, %d answers; longest time without one %d ms; ready all the time: %v",
		tried, ordinaryCallers, answers, longest.Milliseconds(), readyAll)
	if longest > boundContact && readyAll {
		b.violation("a gateway that says that it is ready takes no new connection for %d ms, while %d callers try", longest.Milliseconds(), ordinaryCallers)
	}
	mu.Unlock()
	ordinary.Store(true)
	stop.Store(true)
	group.Wait()
	crowd.Wait()
	return nil
}

// sendPieces opens a connection and sends a body piece by piece until it is whole or the
// gateway closes the connection.
func (b *bench) sendPieces(address string, bodyBytes, pieceBytes int, pause time.Duration, stop *atomic.Bool, open *atomic.Int64) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	open.Add(1)
	defer open.Add(-1)
	fmt.Fprintf(c, "POST /check/box HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1200\r\nContent-Length: %d\r\n\r\n", host, newID(), bodyBytes)
	piece := bytes.Repeat([]byte("b"), pieceBytes)
	for left := bodyBytes; left > 0 && !stop.Load(); left -= pieceBytes {
		if _, err := c.Write(piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
