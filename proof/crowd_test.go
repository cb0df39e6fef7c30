package proof

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// The crowd: callers that each send a body of legal size, most of them stopping just short of
// its end, and stay. All their bodies together are twice as large as the VM's memory, of which
// requests may use about a third. What is checked doesn't depend on how fast the machine is:
// processes live, their memory and their descriptors stay within those of the VM, and an
// ordinary request is answered.
const (
	crowdMemoryMB  = 96
	crowdCallers   = 24
	crowdBodyBytes = 8 << 20
	crowdMaxFDs    = 200
	// calmBodyBytes is the body of a request that is served once the crowd has left. The server
	// answers with as much, and an answer may use a sixth of the memory for answers.
	calmBodyBytes = 3 << 20
	// crowdHeadCallers send pipelined requests with heads of crowdHeadBytes.
	crowdHeadCallers = 40
	crowdPipelined   = 32
	crowdHeadBytes   = 14 << 10
)

// crowd is a set of connections to one gateway.
type crowd struct {
	t       *testing.T
	address string

	mu    sync.Mutex
	conns []net.Conn
}

// newCrowd returns a crowd at the first gateway of a fleet.
func newCrowd(t *testing.T, f *gatewayFleet) *crowd {
	c := &crowd{t: t, address: net.JoinHostPort(f.hosts[0], strconv.Itoa(standin.GatewayCallersPort))}
	t.Cleanup(c.leave)
	return c
}

// send opens connections and calls a function with each, side by side. The function's errors
// are allowed: the gateway may close the connection.
func (c *crowd) send(number int, f func(net.Conn) error) {
	var group sync.WaitGroup
	for range number {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", c.address, 10*time.Second)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
			_ = f(conn)
		})
	}
	group.Wait()
}

// leave closes the connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// crowdWork is how long servers work on the crowd's whole requests.
const crowdWork = "?" + fake.WorkQuery + "=1000"

// postHead returns the head of a booking with the given query and framing.
func postHead(query, framing string) string {
	names := platform.Dialect()
	return fmt.Sprintf("POST /x%s HTTP/1.1\r\nHost: book.example\r\n%s: %016x\r\n%s: 9000\r\n%s\r\n\r\n", query, names.CallID, rand.Uint64(), names.Deadline, framing)
}

// sendBody sends a body of crowdBodyBytes but for its last bytes, in pieces of a size.
func sendBody(conn net.Conn, short, pieceBytes int) error {
	if _, err := fmt.Fprint(conn, postHead(crowdWork, fmt.Sprintf("Content-Length: %d", crowdBodyBytes))); err != nil {
		return err
	}
	piece := bytes.Repeat([]byte("b"), pieceBytes)
	for left := crowdBodyBytes - short; left > 0; {
		n, err := conn.Write(piece[:min(left, len(piece))])
		if err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// sendChunks sends a body of crowdBodyBytes in small chunks, without its end.
func sendChunks(conn net.Conn) error {
	if _, err := fmt.Fprint(conn, postHead(crowdWork, "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	const chunkBytes = 1 << 10
	chunks := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("c", chunkBytes)), 16)
	for sent := 0; sent < crowdBodyBytes; sent += 16 * chunkBytes {
		if _, err := fmt.Fprint(conn, chunks); err != nil {
			return err
		}
	}
	return nil
}

// sendHeads sends whole pipelined requests with large heads, and one that stops short.
func sendHeads(conn net.Conn) error {
	names := platform.Dialect()
	filler := strings.Repeat("h", crowdHeadBytes)
	for range crowdPipelined - 1 {
		if _, err := fmt.Fprintf(conn, "GET /x%s HTTP/1.1\r\nHost: look.example\r\n%s: %016x\r\n%s: 9000\r\nX-Filler: %s\r\n\r\n", crowdWork, names.CallID, rand.Uint64(), names.Deadline, filler); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: look.example\r\nX-Filler: %s", filler)
	return err
}

// awaitOrdinary waits until ordinary requests of both kinds are answered at the first gateway.
func (f *gatewayFleet) awaitOrdinary(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !lookOnce(client, f.hosts[0]) {
			return poll.Continue("an ordinary lookup is not answered")
		}
		if !f.bookOnce(100) {
			return poll.Continue("an ordinary booking is not answered")
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// bookOnce sends a booking with a body to the first gateway on a new connection, and reports
// whether it was served whole.
func (f *gatewayFleet) bookOnce(bodyBytes int) bool {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(f.hosts[0], strconv.Itoa(standin.GatewayCallersPort)), 5*time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := fmt.Fprint(conn, postHead("", fmt.Sprintf("Content-Length: %d", bodyBytes))); err != nil {
		return false
	}
	body := strings.Repeat("b", bodyBytes)
	if _, err := fmt.Fprint(conn, body); err != nil {
		return false
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var answer bytes.Buffer
	_, err = answer.ReadFrom(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && strings.HasSuffix(answer.String(), " POST /x "+body)
}

// checkAlive checks that no process of the fleet has ended, and that none uses more memory or
// descriptors than its VM has.
func (f *gatewayFleet) checkAlive(t *testing.T) {
	t.Helper()
	for i, p := range f.processes {
		select {
		case <-p.ended:
			assert.Check(t, false, "gateway %d has ended: %s", i, p.state)
			return
		default:
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid))
		assert.NilError(t, err)
		assert.Check(t, len(entries) <= crowdMaxFDs, "gateway %d: %d descriptors", i, len(entries))
	}
	f.checkMemory(t, crowdMemoryMB)
}

// crowdVariable is set by make crowd, which runs these tests one at a time and apart from other
// load. go test ./... runs them beside the tests of other packages and passes them over.
const crowdVariable = "CROWD"

func startCrowdFleet(t *testing.T) *gatewayFleet {
	t.Helper()
	if os.Getenv(crowdVariable) == "" {
		t.Skip("run by make crowd, apart from other load")
	}
	f := startGatewayFleet(t, gatewayFleetOptions{MemoryMB: crowdMemoryMB, MaxFDs: crowdMaxFDs, Slots: 400, Timeout: 10 * time.Second})
	for _, p := range f.processes {
		limit := unix.Rlimit{Cur: crowdMaxFDs, Max: crowdMaxFDs}
		assert.NilError(t, unix.Prlimit(p.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	}
	return f
}

// Guards against gateways that run out of memory because of callers that send bodies, each of
// legal size, and stop just short of their end.
func TestCrowdThatStopsShort(t *testing.T) {
	for name, send := range map[string]func(net.Conn) error{
		"at once":        func(c net.Conn) error { return sendBody(c, 1, 1<<20) },
		"piece by piece": func(c net.Conn) error { return sendBody(c, 1, 16<<10) },
		"in chunks":      sendChunks,
		"half closed": func(c net.Conn) error {
			defer func() { _ = c.(*net.TCPConn).CloseWrite() }()
			return sendBody(c, 1, 64<<10)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startCrowdFleet(t)
			c := newCrowd(t, f)
			c.send(crowdCallers, send)
			f.awaitOrdinary(t)
			f.checkAlive(t)
		})
	}
}

// Guards against memory of a crowd that has left and is counted, or held, for ever.
func TestSecondCrowdComesAsTheFirstLeaves(t *testing.T) {
	f := startCrowdFleet(t)
	for range 3 {
		c := newCrowd(t, f)
		c.send(crowdCallers, func(c net.Conn) error { return sendBody(c, 1, 1<<20) })
		c.leave()
	}
	f.awaitOrdinary(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.bookOnce(calmBodyBytes) {
			return poll.Success()
		}
		return poll.Continue("a large body is not served in calm")
	}, poll.WithDelay(100*time.Millisecond), poll.WithTimeout(30*time.Second))
	f.checkAlive(t)
}

// Guards against copies of whole bodies that add up while servers work on them.
func TestCrowdThatSendsWholeBodies(t *testing.T) {
	f := startCrowdFleet(t)
	c := newCrowd(t, f)
	for range 2 {
		c.send(crowdCallers, func(c net.Conn) error {
			if err := sendBody(c, 0, 1<<20); err != nil {
				return err
			}
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				res.Body.Close()
			}
			return err
		})
	}
	f.awaitOrdinary(t)
	f.checkAlive(t)
}

// Guards against heads that are held without being counted: those of pipelined requests that
// wait for their answers.
func TestCrowdOfPipelinedHeads(t *testing.T) {
	f := startCrowdFleet(t)
	newCrowd(t, f).send(crowdHeadCallers, sendHeads)
	f.awaitOrdinary(t)
	f.checkAlive(t)
}

// Guards against callers that use up the descriptors, so that neither other callers nor
// servers are reached.
func TestCrowdThatSendsNothing(t *testing.T) {
	f := startCrowdFleet(t)
	newCrowd(t, f).send(crowdMaxFDs, func(net.Conn) error { return nil })
	f.awaitOrdinary(t)
	f.checkAlive(t)
}

// Guards against a crowd that keeps a process from taking its settings again, or from ending
// within its grace.
func TestCrowdDuringReloadAndStop(t *testing.T) {
	f := startCrowdFleet(t)
	c := newCrowd(t, f)
	var group sync.WaitGroup
	group.Go(func() { c.send(crowdCallers, func(c net.Conn) error { return sendBody(c, 1, 1<<20) }) })
	assert.NilError(t, f.processes[0].Signal(syscall.SIGHUP))
	group.Wait()
	f.awaitOrdinary(t)
	f.checkAlive(t)
	assert.NilError(t, f.processes[0].Signal(syscall.SIGTERM))
	group.Go(func() { c.send(crowdCallers, func(c net.Conn) error { return sendBody(c, 1, 1<<20) }) })
	<-f.processes[0].ended
	group.Wait()
	assert.Assert(t, f.processes[0].state.Success(), "%s", f.processes[0].state)
}
