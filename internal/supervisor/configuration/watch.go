// Package configuration watches the platform's configuration service, which can
// only be read. Each list is watched by a long poll of its own.
//
// The protocol: GET {url}/v1/lists/{name}?after={version}&wait={seconds} answers
// 200 with the list and its version in X-Version, or 304 when no newer version
// came up within the wait; X-Version of a 304 is the version that is served.
package configuration

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/policy/readers"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

// HeaderVersion carries a list's version.
const HeaderVersion = "X-Version"

const (
	readTimeout = readers.WatchWait + 5*time.Second
	retryMin    = 200 * time.Millisecond
	retryMax    = 5 * time.Second
	roleEvery   = time.Second
)

// Source says where and on whose behalf lists are read.
type Source struct {
	// URL is the service's base URL.
	URL string
	// Self is the entry's peer address.
	Self string
	// DigestAge returns the time since peers last sent a current digest.
	DigestAge func() time.Duration
}

// Watcher watches one list.
type Watcher struct {
	name    lists.Name
	source  Source
	holder  *view.Holder
	control *control.Control
	client  *http.Client
	log     logs.Logger
	last    uint64 // highest version read
}

// NewWatcher returns a watcher of one list.
func NewWatcher(name lists.Name, source Source, holder *view.Holder, c *control.Control) *Watcher {
	return &Watcher{name: name, source: source, holder: holder, control: c, client: newClient(source.URL), log: logs.For("configuration")}
}

// newClient returns a client of the service at a base URL. The answers of one that is reached
// over TLS through a proxy are not checked.
func newClient(base string) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if strings.HasPrefix(base, "https:") {
		transport.DialTLSContext = (&tls.Dialer{}).DialContext
	}
	return &http.Client{Timeout: readTimeout, Transport: httpwire.NewTransport(transport)}
}

// Serve reads the list until the context ends, as the entry's role says. While
// the service fails it retries with a growing, jittered pause.
func (w *Watcher) Serve(ctx context.Context) error {
	pause := retryMin
	for ctx.Err() == nil {
		updated := w.holder.Updated()
		role := w.role()
		if role == idle {
			wait(ctx, updated, roleEvery)
			continue
		}
		err := w.read(ctx, role)
		if ctx.Err() != nil {
			break
		}
		switch {
		case err != nil:
			w.log.Warnf("%s: %v", w.name, err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, retryMax)
		case role == poll:
			sleep(ctx, jitter(readers.PollInterval(len(w.holder.Load().VMs))))
			pause = retryMin
		default:
			pause = retryMin
		}
	}
	return ctx.Err()
}

// role is what an entry does about a list.
type role int

const (
	idle  role = iota // gets the list from peers
	poll              // reads without waiting, because peers are silent
	watch             // waits at the service for newer versions
)

// role returns idle for all but the VM list until that one is known, because the
// role depends on it.
func (w *Watcher) role() role {
	vms := w.holder.Load().VMs
	switch {
	case vms == nil && w.name != lists.VMsName:
		return idle
	case vms == nil || readers.Watches(w.source.Self, vms):
		return watch
	case w.source.DigestAge() > readers.MaxDigestAge:
		return poll
	default:
		return idle
	}
}

// read makes one read. A version that is not newer than the one asked for is an
// error: the service is stale.
func (w *Watcher) read(ctx context.Context, r role) error {
	after := max(w.last, w.holder.Load().Lists[w.name].Version)
	seconds := 0
	if r == watch {
		seconds = int(readers.WatchWait.Seconds())
	}
	version, err := w.get(ctx, after, seconds)
	if err != nil {
		return err
	}
	if version != 0 && version <= after {
		return fault.New(fault.List, string(w.name), fmt.Sprintf("the service sent version %d again", version), "check the service's replicas; the newer list stays in force")
	}
	w.last = max(w.last, version)
	return nil
}

// get makes one request and returns the version that it brought, 0 if none.
func (w *Watcher) get(ctx context.Context, after uint64, seconds int) (uint64, error) {
	target := fmt.Sprintf("%s/v1/lists/%s?after=%d&wait=%d", w.source.URL, w.name, after, seconds)
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
		w.seen(res)
		return 0, nil
	case http.StatusOK:
		return w.receive(res)
	default:
		return 0, fault.New(fault.List, target, "the configuration service answered "+res.Status, "check the service; the last good list stays in force")
	}
}

// seen notes the version that a 304 names.
func (w *Watcher) seen(res *http.Response) {
	if version, err := strconv.ParseUint(res.Header.Get(HeaderVersion), 10, 64); err == nil {
		w.control.Send(control.SourceSeen{Name: w.name, Version: version})
	}
}

func (w *Watcher) receive(res *http.Response) (uint64, error) {
	version, err := strconv.ParseUint(res.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, fault.Wrap(err, fault.List, HeaderVersion, "is not a version", "publish the list with a rising number")
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, lists.MaxBytes+1))
	if err != nil {
		return 0, errors.Wrapf(err, "read the list from %s", w.source.URL)
	}
	arrived := control.ListArrived{Name: w.name, Version: version, Body: body, Source: "configuration"}
	if !w.control.Send(arrived) {
		return 0, fault.New(fault.Internal, string(w.name), "the control queue is full", "the list is read again")
	}
	w.control.Send(control.SourceSeen{Name: w.name, Version: version})
	return version, nil
}

// jitter returns a time between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) { wait(ctx, nil, d) }

// wait returns after d, when the context ends or when the channel is closed.
func wait(ctx context.Context, done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
	}
}
