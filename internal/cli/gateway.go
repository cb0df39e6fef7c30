package cli

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/gateway"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/platform"
)

type gatewayCommand struct {
	streams
	Settings           string      `long:"settings" value-name:"FILE" description:"Settings file (TOML). Default: where the platform puts it"`
	ConfigurationBound changeBound `long:"configuration-bound" value-name:"DURATION" description:"Time within which each gateway applies a configuration that the store has accepted. Default: 2s"`
	LeavingBound       changeBound `long:"leaving-bound" value-name:"DURATION" description:"Time within which no gateway sends work to a server that the store lists as leaving. Default: 2s"`
}

// changeBound is the time within which a gateway must know a change of the store. An empty
// text stands for the default, because the platform may have no such bound.
type changeBound time.Duration

// UnmarshalFlag implements flags.Unmarshaler.
func (b *changeBound) UnmarshalFlag(text string) error {
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "give a duration, like 2s")
	}
	if d < minChangeBound {
		return errors.Errorf("%s is too short; give at least %s", d, minChangeBound)
	}
	*b = changeBound(d)
	return nil
}

// minChangeBound is the shortest bound that network delays and pauses of small VMs allow.
const minChangeBound = 100 * time.Millisecond

func (b changeBound) duration() time.Duration {
	return cmp.Or(time.Duration(b), discovery.DefaultChangeBound)
}

var errNoSettings = errors.New("no settings file is named; give --settings FILE")

// Execute runs a gateway.
func (c *gatewayCommand) Execute([]string) error {
	file := c.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	if file == "" {
		return errNoSettings
	}
	s, faults := settings.LoadGateway(file)
	if err := c.faults(faults); err != nil {
		return err
	}
	flush, err := logs.Setup(c.out, s.Log.Level)
	if err != nil {
		return err
	}
	defer flush()
	signal.Ignore(syscall.SIGPIPE) // a reader of the log that left must not end the process
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	limitHeap(s.VM.MemoryMB)
	timing := discovery.NewTiming(min(c.ConfigurationBound.duration(), c.LeavingBound.duration()))
	return gateway.Run(ctx, &gateway.Options{
		Settings: s,
		Timing:   timing,
		Reload:   func() (*settings.Gateway, []error) { return settings.LoadGateway(file) },
		Dialect:  platform.Dialect(),
		Store:    platform.NewStore(s.Store.Address, s.VM.LinkMbps, timing),
		Decoder:  platform.Decoder{},
	}, reloadRequests(ctx))
}

// heapMemoryShare is the share of the VM's memory that the Go runtime may use before it
// collects garbage more often than GOGC says. The rest is for the program's pages, which the
// runtime doesn't count, and for the kernel's buffers of connections.
const heapMemoryShare = 0.7

// limitHeap sets the memory limit of the Go runtime for a VM with the given MB, unless
// GOMEMLIMIT sets a lower one.
func limitHeap(vmMB int) {
	limit := min(debug.SetMemoryLimit(-1), int64(heapMemoryShare*float64(vmMB)*(1<<20)))
	debug.SetMemoryLimit(limit)
	logs.For("gateway").With("vm_mb", vmMB).With("heap_limit_mb", limit>>20).Infof("memory limit of the Go runtime set")
}

// reloadRequests turns SIGHUP into requests to read the settings again.
func reloadRequests(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	requests := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-signals:
				select {
				case requests <- struct{}{}:
				default: // one is waiting already
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return requests
}
