// Package logs gives each part of the process a logger with a fixed prefix.
package logs

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// Setup directs all loggers to w and drops entries below level, one of debug,
// info, warn, error. An unknown level is a settings fault.
func Setup(w io.Writer, level string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "log.level", "unknown level "+level, "use debug, info, warn or error")
	}
	log.SetHandler(logfmt.New(w))
	log.SetLevel(parsed)
	return nil
}

// Logger writes entries of one part.
type Logger struct {
	prefix string
}

// For returns the logger of a part; its entries start with "part: ".
func For(part string) Logger { return Logger{prefix: part + ": "} }

// Debugf logs at debug level.
func (l Logger) Debugf(format string, args ...any) { log.Debugf(l.prefix+format, args...) }

// Infof logs at info level.
func (l Logger) Infof(format string, args ...any) { log.Infof(l.prefix+format, args...) }

// Warnf logs at warn level.
func (l Logger) Warnf(format string, args ...any) { log.Warnf(l.prefix+format, args...) }

// Errorf logs at error level.
func (l Logger) Errorf(format string, args ...any) { log.Errorf(l.prefix+format, args...) }
