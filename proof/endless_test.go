package proof

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// checkMemory checks that no process of the fleet has used more than its VM's memory.
func (f *gatewayFleet) checkMemory(t *testing.T, memoryMB int) {
	t.Helper()
	for i, p := range f.processes {
		peak := peakMemoryMB(t, p.Pid)
		t.Logf("gateway %d: peak %d MB", i, peak)
		assert.Check(t, peak < memoryMB, "gateway %d: %d MB of %d MB", i, peak, memoryMB)
	}
}

// peakMemoryMB returns the most memory that a process has used so far.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, ok, "%s", status)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(t, err)
	return kb >> 10
}

// Guards against gateways that run out of memory because a server sends bytes without end,
// and against small answers that are lost because of it.
func TestEndlessAnswersDoNotUseUpTheMemory(t *testing.T) {
	const callers, length = 240, 3 * time.Second
	for _, memoryMB := range []int{184, 284} {
		for _, test := range []struct {
			name  string
			fault fake.Fault
		}{
			{"head", fake.EndlessHead},
			{"body", fake.EndlessBody},
			{"body with a length", fake.EndlessAfterLength},
			{"chunks", fake.EndlessChunks},
		} {
			t.Run(fmt.Sprintf("%s, %d MB", test.name, memoryMB), func(t *testing.T) {
				f := startGatewayFleet(t, gatewayFleetOptions{MemoryMB: memoryMB, Slots: 400})
				f.servers[0].Fault(func(int) fake.Fault { return test.fault })
				sent, served := f.load(callers, length)
				t.Logf("%d of %d served", served, sent)
				assert.Check(t, served > 0)
				f.checkMemory(t, memoryMB)
			})
		}
	}
}

// Guards against gateways that run out of memory because callers read large answers slowly,
// and against answers that are cut and look whole.
func TestLargeAnswersToSlowReadersStayWithinTheMemory(t *testing.T) {
	const memoryMB, connections, pipelined = 184, 90, 3
	f := startGatewayFleet(t, gatewayFleetOptions{MemoryMB: memoryMB, Slots: 400, Timeout: 10 * time.Second})
	for _, s := range f.servers {
		s.Fault(func(int) fake.Fault { return fake.Large })
	}
	var whole, refused, missing atomic.Int64
	var group sync.WaitGroup
	for i := range connections {
		group.Go(func() {
			c, err := net.Dial("tcp", net.JoinHostPort(f.hosts[i%len(f.hosts)], strconv.Itoa(standin.GatewayCallersPort)))
			assert.Check(t, err == nil, "%v", err)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(time.Minute))
			_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
			ids := askPipelined(t, c, pipelined)
			time.Sleep(rand.N(2 * time.Second))
			r := bufio.NewReader(&slowReader{c})
			for _, id := range ids {
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					missing.Add(1)
					return // and those behind it
				}
				body, err := io.ReadAll(res.Body)
				switch {
				case err != nil:
					missing.Add(1)
					return
				case res.StatusCode != http.StatusOK:
					refused.Add(1)
				default:
					start := id + " GET /x "
					assert.Check(t, string(body) == start+strings.Repeat("x", fake.LargeBytes-len(start)), "%d bytes", len(body))
					whole.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d whole, %d refused, %d cut", whole.Load(), refused.Load(), missing.Load())
	assert.Check(t, whole.Load() >= connections/2, "as many as fit into the memory at a time")
	f.checkMemory(t, memoryMB)
}

// askPipelined sends requests one behind the other and returns their ids.
func askPipelined(t *testing.T, w io.Writer, number int) []string {
	names := platform.Dialect()
	var ids []string
	for range number {
		id := fmt.Sprintf("%016x", rand.Uint64())
		_, err := fmt.Fprintf(w, "GET /x HTTP/1.1\r\nHost: look.example\r\n%s: %s\r\n%s: 9000\r\n\r\n", names.CallID, id, names.Deadline)
		assert.Check(t, err == nil, "%v", err)
		ids = append(ids, id)
	}
	return ids
}

// slowReader reads about 6 MB a second.
type slowReader struct{ io.Reader }

func (r *slowReader) Read(b []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return r.Reader.Read(b[:min(len(b), 64<<10)])
}
