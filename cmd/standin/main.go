// Command standin runs fakes of what surrounds an entry, for tests and for
// `make run`.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/standin"
)

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	add(parser, "platform", "Run a configuration service", &platformCommand{})
	add(parser, "server", "Run a backend server", &serverCommand{})
	add(parser, "run", "Run a platform, servers and entries as processes", &runCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}

func add(p *flags.Parser, name, short string, command any) {
	if _, err := p.AddCommand(name, short, short, command); err != nil {
		panic(err)
	}
}

type platformCommand struct {
	Address string `long:"address" required:"true" description:"IP address and port"`
}

// Execute runs the platform until it is killed.
func (c *platformCommand) Execute([]string) error {
	return serve(c.Address, standin.NewPlatform().Handler())
}

type serverCommand struct {
	Address string        `long:"address" required:"true" description:"IP address and port"`
	ID      string        `long:"id" required:"true" description:"Server id"`
	Slots   int           `long:"slots" default:"6" description:"Calls that run at a time"`
	Queue   int           `long:"queue" default:"12" description:"Calls that may wait"`
	Work    time.Duration `long:"work" default:"5ms" description:"Time that a call runs"`
}

// Execute runs a server until it is killed.
func (c *serverCommand) Execute([]string) error {
	s := standin.NewServer(standin.ServerOptions{ID: c.ID, Slots: c.Slots, Queue: c.Queue, Work: c.Work})
	return serve(c.Address, s.Handler())
}

const headTimeout = 10 * time.Second

func serve(address string, h http.Handler) error {
	fmt.Fprintln(os.Stderr, "standin: listen on", address)
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headTimeout}
	return errors.WithStack(server.ListenAndServe())
}
