package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// EntryProcess is an entry that runs as a process of its own.
type EntryProcess struct {
	// ID is the entry's id in the VM list.
	ID string
	// Callers, Peers and Admin are the entry's addresses.
	Callers, Peers, Admin string

	// TracingEndpoint is the endpoint for spans; none if empty.
	TracingEndpoint string
	// CallersSettings holds further lines of the settings' [callers] table.
	CallersSettings string
	// Log takes the log from the next start on; the fleet's if nil.
	Log io.Writer

	cmd *exec.Cmd
}

// URL returns the URL for callers.
func (e *EntryProcess) URL() string { return "http://" + e.Callers }

// PID returns the process id.
func (e *EntryProcess) PID() int { return e.cmd.Process.Pid }

// Signal sends a signal to the process.
func (e *EntryProcess) Signal(sig syscall.Signal) error {
	return errors.WithStack(e.cmd.Process.Signal(sig))
}

// Wait waits until the process has ended.
func (e *EntryProcess) Wait() error { return errors.WithStack(e.cmd.Wait()) }

// NewEntryProcess returns an entry with free loopback addresses, not started.
func NewEntryProcess(id string) (*EntryProcess, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	return &EntryProcess{ID: id, Callers: addresses[0], Peers: addresses[1], Admin: addresses[2]}, nil
}

// Settings returns the entry's settings file.
func (e *EntryProcess) Settings(platformURL string) string {
	return fmt.Sprintf(`[entry]
id = %q
data_centre = "modjo"
[callers]
address = %q
%s
[peers]
address = %q
[admin]
address = %q
[configuration]
url = %q
[tracing]
endpoint = %q
`, e.ID, e.Callers, e.CallersSettings, e.Peers, e.Admin, platformURL, e.TracingEndpoint)
}

// Start writes the settings file into dir and runs the binary. Its log goes to
// the writer.
func (e *EntryProcess) Start(binary, dir, platformURL string, log io.Writer) error {
	file := filepath.Join(dir, e.ID+".toml")
	if err := os.WriteFile(file, []byte(e.Settings(platformURL)), 0o600); err != nil {
		return errors.WithStack(err)
	}
	e.cmd = exec.Command(binary, "entry", "--settings", file)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return errors.Wrapf(e.cmd.Start(), "start entry %s", e.ID)
}

// WaitReady waits until the entry is ready for calls.
func (e *EntryProcess) WaitReady(ctx context.Context) error {
	for {
		res, err := http.Get("http://" + e.Admin + "/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entry %s is not ready", e.ID)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// VM returns the entry's line in the VM list.
func (e *EntryProcess) VM() lists.VM {
	return lists.VM{ID: e.ID, Address: e.Peers, DataCentre: "modjo", State: lists.Live}
}

// Response is a caller's view of an answer.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers.
	Header http.Header
	// Body is the whole body.
	Body string
}

// Call sends one call with the sample key.
func Call(ctx context.Context, method, url, body string, header http.Header) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Response{}, errors.WithStack(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+SampleKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, errors.WithStack(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return Response{}, errors.WithStack(err)
	}
	return Response{Status: res.StatusCode, Header: res.Header, Body: string(data)}, nil
}
