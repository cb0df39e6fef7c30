// Package tree supervises the services of a process.
//
// # What operators see
//
// A service that fails is started again, with a pause if it keeps failing. Each
// failure is one log line that names the service and the cause.
package tree

import (
	"fmt"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/baobabstack/baobabstack/internal/logs"
)

// restartPause is the pause once services keep failing. Most often an address is still
// in use by the process before, which frees it within milliseconds of its end; a
// process that does not listen is of no use meanwhile.
const restartPause = 200 * time.Millisecond

// New returns a supervisor without services.
func New(name string, log logs.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		FailureBackoff: restartPause,
		EventHook:      func(e suture.Event) { report(log, e) },
	})
}

func report(log logs.Logger, e suture.Event) {
	switch e := e.(type) {
	case suture.EventServiceTerminate:
		log.With("service", fmt.Sprintf("%T", e.Service)).With("restarting", e.Restarting).Warnf("service failed: %v", e.Err)
	case suture.EventServicePanic:
		log.With("service", fmt.Sprintf("%T", e.Service)).With("restarting", e.Restarting).Errorf("service panicked: %s\n%s", e.PanicMsg, e.Stacktrace)
	case suture.EventBackoff, suture.EventResume:
		log.Debugf("%s", e)
	default:
		log.Warnf("%s", e)
	}
}
