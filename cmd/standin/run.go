package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
)

type runCommand struct {
	Binary  string `long:"binary" default:"bin/baobabstack" description:"Program to run as entries"`
	Once    bool   `long:"once" description:"Send a lookup and a booking, print the answers and stop"`
	Entries int    `long:"entries" default:"2" description:"Number of entries"`
}

const startTimeout = 20 * time.Second

// Execute runs everything as processes of its own and stops them at the end.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "baobabstack-run-")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.RemoveAll(dir)
	r := &runner{dir: dir, binary: c.Binary}
	defer r.stop()
	if err := r.start(ctx, c.Entries); err != nil {
		return err
	}
	if c.Once {
		return r.once(ctx)
	}
	fmt.Printf("callers:  %s (key %s)\n", r.entries[0].URL(), standin.SampleKey)
	fmt.Printf("try:      curl -i -H 'Authorization: Bearer %s' %s/stock/lookup\n", standin.SampleKey, r.entries[0].URL())
	fmt.Printf("operators: http://%s/status, lists at %s/v1/lists/\n", r.entries[0].Admin, r.platform)
	<-ctx.Done()
	return nil
}

type runner struct {
	dir, binary string
	platform    string
	entries     []*standin.EntryProcess
	helpers     []*exec.Cmd
}

func (r *runner) start(ctx context.Context, entries int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	address, err := r.helper("platform")
	if err != nil {
		return err
	}
	r.platform = "http://" + address
	servers, err := r.startServers()
	if err != nil {
		return err
	}
	if err := r.startEntries(entries); err != nil {
		return err
	}
	if err := r.publish(ctx, servers); err != nil {
		return err
	}
	for _, e := range r.entries {
		if err := e.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) startServers() ([]lists.Server, error) {
	var servers []lists.Server
	for _, service := range []string{"stock", "moves"} {
		for i := 1; i <= 2; i++ {
			id := fmt.Sprintf("%s-%d", service, i)
			address, err := r.helper("server", "--id", id)
			if err != nil {
				return nil, err
			}
			servers = append(servers, lists.Server{ID: id, Service: service, Address: address, DataCentre: "modjo", State: lists.Live})
		}
	}
	return servers, nil
}

func (r *runner) startEntries(n int) error {
	for i := range n {
		e, err := standin.NewEntryProcess(fmt.Sprintf("vm-%d", i+1))
		if err != nil {
			return err
		}
		if err := e.Start(r.binary, r.dir, r.platform, os.Stderr); err != nil {
			return err
		}
		r.entries = append(r.entries, e)
	}
	return nil
}

// helper starts this program with another command on a free address.
func (r *runner) helper(args ...string) (string, error) {
	address, err := standin.FreeAddress()
	if err != nil {
		return "", err
	}
	self, err := os.Executable()
	if err != nil {
		return "", errors.WithStack(err)
	}
	cmd := exec.Command(self, append(args, "--address", address)...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return "", errors.WithStack(err)
	}
	r.helpers = append(r.helpers, cmd)
	return address, nil
}

func (r *runner) publish(ctx context.Context, servers []lists.Server) error {
	var vms []lists.VM
	for _, e := range r.entries {
		vms = append(vms, e.VM())
	}
	for name, body := range map[lists.Name][]byte{
		lists.PlansName: standin.SamplePlans(), lists.AllowancesName: standin.SampleAllowances(),
		lists.ServersName: standin.SampleServers(servers), lists.VMsName: standin.SampleVMs(vms),
	} {
		if err := r.put(ctx, name, body); err != nil {
			return err
		}
	}
	return nil
}

// put publishes a list, trying again until the platform listens.
func (r *runner) put(ctx context.Context, name lists.Name, body []byte) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, r.platform+"/v1/lists/"+string(name), bytes.NewReader(body))
		if err != nil {
			return errors.WithStack(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			return errors.WithStack(res.Body.Close())
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "publish %s", name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (r *runner) once(ctx context.Context) error {
	lookup, err := standin.Call(ctx, http.MethodGet, r.entries[0].URL()+"/stock/lookup?box=MODU1234567", "", nil)
	if err != nil {
		return err
	}
	booking, err := standin.Call(ctx, http.MethodPost, r.entries[1%len(r.entries)].URL()+"/moves/book", `{"box":"MODU1234567","to":"Dire Dawa"}`, nil)
	if err != nil {
		return err
	}
	for name, res := range map[string]standin.Response{"lookup": lookup, "booking": booking} {
		fmt.Printf("%s: status=%d server=%s outcome=%s trace=%s body=%s", name, res.Status,
			res.Header.Get(call.HeaderServer), res.Header.Get(call.HeaderOutcome), res.Header.Get(call.HeaderTrace), res.Body)
		if res.Status != http.StatusOK {
			return errors.Errorf("%s was not answered", name)
		}
	}
	return nil
}

// stop ends the processes that start began.
func (r *runner) stop() {
	for _, e := range r.entries {
		_ = e.Signal(syscall.SIGTERM)
	}
	for _, e := range r.entries {
		_ = e.Wait()
	}
	for _, cmd := range r.helpers {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}
