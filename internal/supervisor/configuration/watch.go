// Package configuration watches the platform's configuration service, which can
// only be read. Each list is watched by a long poll of its own.
//
// The protocol: GET {url}/v1/lists/{name}?after={version}&wait={seconds} answers
// 200 with the list and its version in X-Version, or 304 when no newer version
// came up within the wait.
package configuration

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

// HeaderVersion carries a list's version.
const HeaderVersion = "X-Version"

const (
	watchWait   = 20 * time.Second
	readTimeout = watchWait + 5*time.Second
	retryMin    = 200 * time.Millisecond
	retryMax    = 5 * time.Second
)

// Watcher watches one list.
type Watcher struct {
	name    lists.Name
	url     string
	holder  *view.Holder
	control *control.Control
	client  *http.Client
	log     logs.Logger
}

// NewWatcher returns a watcher of one list at the service's base URL.
func NewWatcher(name lists.Name, url string, holder *view.Holder, c *control.Control) *Watcher {
	return &Watcher{name: name, url: url, holder: holder, control: c, client: &http.Client{Timeout: readTimeout}, log: logs.For("configuration")}
}

// Serve watches until the context ends. While the service fails it retries with
// a growing, jittered pause.
func (w *Watcher) Serve(ctx context.Context) error {
	pause := retryMin
	var last uint64
	for ctx.Err() == nil {
		after := max(last, w.holder.Load().Lists[w.name].Version)
		version, err := w.poll(ctx, after)
		if err == nil && version != 0 && version <= after {
			err = fault.New(fault.List, string(w.name), fmt.Sprintf("the service sent version %d again", version), "check the service's replicas; the newer list stays in force")
		}
		if err == nil {
			last = max(last, version)
			pause = retryMin
			continue
		}
		if ctx.Err() != nil {
			break
		}
		w.log.Warnf("%s: %v", w.name, err)
		sleep(ctx, time.Duration(rand.Int64N(int64(pause)))+pause/2)
		pause = min(2*pause, retryMax)
	}
	return ctx.Err()
}

// poll makes one read and returns the version that it brought, 0 if none.
func (w *Watcher) poll(ctx context.Context, after uint64) (uint64, error) {
	target := fmt.Sprintf("%s/v1/lists/%s?after=%d&wait=%d", w.url, w.name, after, int(watchWait.Seconds()))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	res, err := w.client.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNotModified:
		return 0, nil
	case http.StatusOK:
		return w.receive(res)
	default:
		return 0, fault.New(fault.List, target, "the configuration service answered "+res.Status, "check the service; the last good list stays in force")
	}
}

func (w *Watcher) receive(res *http.Response) (uint64, error) {
	version, err := strconv.ParseUint(res.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, fault.Wrap(err, fault.List, HeaderVersion, "is not a version", "publish the list with a rising number")
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, lists.MaxBytes+1))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	w.control.Send(control.ListArrived{Name: w.name, Version: version, Body: body, Source: "configuration"})
	return version, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
