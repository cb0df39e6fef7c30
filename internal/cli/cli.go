// Package cli defines the commands of the baobabstack program.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/supervisor"
)

// Version is the program's version.
const Version = "0.1.0"

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

var errBadInput = errors.New("bad input")

// Run parses the arguments, runs the command and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser("baobabstack", flags.HelpFlag|flags.PassDoubleDash)
	io := streams{out: out, err: errOut}
	add(parser, "entry", "Run an entry", "Runs an entry until SIGTERM or SIGINT, then stops it gracefully.", &entryCommand{streams: io})
	add(parser, "gateway", "Run a gateway", "Runs a gateway on the platform until SIGTERM or SIGINT, then stops it gracefully. SIGHUP reads the settings again.", &gatewayCommand{streams: io})
	add(parser, "check", "Check settings and lists", "Checks files without running anything. Exit status 2 and a line for each fault: file, line, key and remedy.", &checkCommand{streams: io})
	add(parser, "status", "Show an entry's state", statusHelp, &statusCommand{streams: io})
	add(parser, "explain", "Show why an entry decided what it did", explainHelp, &explainCommand{streams: io})
	add(parser, "version", "Print the version", "Prints the version of the program.", &versionCommand{streams: io})
	add(parser, "hash-key", "Hash a customer's key", "Prints the key_hash of a key read from standard input.", &hashKeyCommand{streams: io})
	return status(parser, args, io)
}

func status(parser *flags.Parser, args []string, io streams) int {
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errBadInput):
		return exitBadInput
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(io.out, flagsErr.Message)
		return exitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(io.err, flagsErr.Message)
		return exitBadInput
	default:
		fmt.Fprintln(io.err, err)
		return exitFailed
	}
}

type streams struct{ out, err io.Writer }

func (s streams) faults(list []error) error {
	for _, f := range list {
		fmt.Fprintln(s.err, f)
	}
	if len(list) > 0 {
		return errBadInput
	}
	return nil
}

func add(p *flags.Parser, name, short, long string, command any) {
	if _, err := p.AddCommand(name, short, long, command); err != nil {
		panic(err)
	}
}

type entryCommand struct {
	streams
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"Settings file (TOML)"`
}

// Execute runs an entry.
func (c *entryCommand) Execute([]string) error {
	s, faults := settings.Load(c.Settings)
	if err := c.faults(faults); err != nil {
		return err
	}
	flush, err := logs.Setup(c.err, s.Log.Level)
	if err != nil {
		return err
	}
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return supervisor.Run(ctx, s)
}

type versionCommand struct{ streams }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.out, Version)
	return nil
}

type hashKeyCommand struct{ streams }

// Execute hashes the first line of standard input.
func (c *hashKeyCommand) Execute([]string) error {
	var key string
	if _, err := fmt.Scanln(&key); err != nil {
		return errors.Wrap(err, "read a key from standard input")
	}
	fmt.Fprintln(c.out, lists.HashKey(key))
	return nil
}
