// Package logs gives each part of the process a logger with a fixed prefix.
// Entries are written by a goroutine of their own, one whole line a write; what
// it can't keep up with is dropped and counted.
package logs

import (
	"io"

	"github.com/apex/log"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// Setup directs all loggers to w and drops entries below level, one of debug,
// info, warn, error. An unknown level is a settings fault. The function that it
// returns writes what is queued; call it before the process ends.
func Setup(w io.Writer, level string) (flush func(), err error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "log.level", "unknown level "+level, "use debug, info, warn or error")
	}
	writer := newWriter(w)
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		writer.add(format(e))
		return nil
	}))
	log.SetLevel(parsed)
	return writer.flush, nil
}

// Logger writes entries of one part.
type Logger struct {
	prefix string
	fields field
}

// For returns the logger of a part; its entries start with "part: ".
func For(part string) Logger { return Logger{prefix: part + ": "} }

// field is a list of fields, the last one first. It implements log.Fielder
// without a map while an entry may still be dropped.
type field struct {
	name  string
	value any
	next  *field
}

// Fields implements log.Fielder.
func (f field) Fields() log.Fields {
	out := make(log.Fields)
	for at := &f; at != nil && at.name != ""; at = at.next {
		out[at.name] = at.value
	}
	return out
}

// With returns a logger whose entries carry a field.
func (l Logger) With(name string, value any) Logger {
	next := l.fields
	l.fields = field{name: name, value: value, next: &next}
	return l
}

// Debugf logs at debug level.
func (l Logger) Debugf(format string, args ...any) { l.log(log.DebugLevel, format, args) }

// Infof logs at info level.
func (l Logger) Infof(format string, args ...any) { l.log(log.InfoLevel, format, args) }

// Warnf logs at warn level.
func (l Logger) Warnf(format string, args ...any) { l.log(log.WarnLevel, format, args) }

// Errorf logs at error level.
func (l Logger) Errorf(format string, args ...any) { l.log(log.ErrorLevel, format, args) }

func (l Logger) log(level log.Level, format string, args []any) {
	if root, ok := log.Log.(*log.Logger); ok && level < root.Level {
		return
	}
	e := log.Log.WithFields(l.fields)
	switch level {
	case log.DebugLevel:
		e.Debugf(l.prefix+format, args...)
	case log.InfoLevel:
		e.Infof(l.prefix+format, args...)
	case log.WarnLevel:
		e.Warnf(l.prefix+format, args...)
	default:
		e.Errorf(l.prefix+format, args...)
	}
}
