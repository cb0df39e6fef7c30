package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/gateway"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/platform"
)

type gatewayCommand struct {
	streams
	Settings string `long:"settings" value-name:"FILE" description:"Settings file (TOML). Default: where the platform puts it"`
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
	return gateway.Run(ctx, &gateway.Options{
		Settings: s,
		Reload:   func() (*settings.Gateway, []error) { return settings.LoadGateway(file) },
		Dialect:  platform.Dialect(),
		Store:    platform.NewStore(s.Store.Address, s.VM.LinkMbps),
		Decoder:  platform.Decoder{},
	}, reloadRequests(ctx))
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
