package standin

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

var (
	givenMu sync.Mutex
	given   = make(map[string]bool)
)

// loopbackHost returns a loopback address that no other process uses: it is made
// from this process's id. Connections to it come from 127.0.0.1, so they take
// none of its ports either.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// FreeAddress returns a loopback address and port that no other process takes
// and that this one has not returned before.
func FreeAddress() (string, error) {
	givenMu.Lock()
	defer givenMu.Unlock()
	for {
		listener, err := net.Listen("tcp", loopbackHost()+":0")
		if err != nil {
			return "", errors.WithStack(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !given[address] {
			given[address] = true
			return address, nil
		}
	}
}
