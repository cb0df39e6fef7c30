package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/supervisor/admin"
)

const (
	statusHelp = "Asks an entry's admin listener for its state: whether it is ready, the versions of the lists in force, " +
		"and each server with the calls in flight. Exit status 1 if the entry does not answer, 2 for bad arguments."
	explainHelp = "Asks an entry's admin listener for the decisions in its journal, oldest first: lists taken or refused, " +
		"servers ejected, links dropped, stops. Name a server, customer, list or address to see what concerns it only. " +
		"The journal is in memory and ends with the process."
	askTimeout = 5 * time.Second
)

// adminOptions says which entry to ask and how to print its answer.
type adminOptions struct {
	Admin string `long:"admin" value-name:"IP:PORT" required:"true" description:"Admin address of the entry (admin.address in its settings)"`
	JSON  bool   `long:"json" description:"Print the answer as JSON"`
}

// ask reads JSON from the entry. With --json it copies the answer to out and
// reports false.
func (o adminOptions) ask(out io.Writer, path string, into any) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Admin+path, http.NoBody)
	if err != nil {
		return false, fault.Wrap(err, fault.Request, "--admin", "is not an address", "write it like 10.0.0.1:9000")
	}
	client := &http.Client{Transport: httpwire.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
	res, err := client.Do(req)
	if err != nil {
		return false, fault.Wrap(err, fault.Request, o.Admin, "the entry does not answer", "check the address and that the entry runs")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false, fault.New(fault.Request, o.Admin, "the entry answered "+res.Status, "check that this is an admin address")
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return false, fault.Wrap(err, fault.Request, o.Admin, "the entry's answer is not whole", "check that this is an admin address")
	}
	if o.JSON {
		_, err = out.Write(body)
		return false, errors.WithStack(err)
	}
	return true, errors.WithStack(json.Unmarshal(body, into))
}

type statusCommand struct {
	streams
	adminOptions
}

// Execute prints an entry's state.
func (c *statusCommand) Execute([]string) error {
	var s admin.Status
	if text, err := c.ask(c.out, "/status", &s); err != nil || !text {
		return err
	}
	fmt.Fprintf(c.out, "ready: %t  leaving: %t  peers: %d\n", s.Ready, s.Leaving, s.Peers)
	for _, name := range slices.Sorted(maps.Keys(s.Versions)) {
		fmt.Fprintf(c.out, "list %s: version %d\n", name, s.Versions[name])
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tSERVER\tADDRESS\tTAKES WORK\tIN FLIGHT")
	for _, service := range slices.Sorted(maps.Keys(s.Services)) {
		for _, server := range s.Services[service] {
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\n", service, server.ID, server.Address, server.TakesWork, server.InFlight)
		}
	}
	return errors.WithStack(w.Flush())
}

type explainCommand struct {
	streams
	adminOptions
	Part string `long:"part" value-name:"PART" description:"Decisions of one part only, such as control, servers or peers"`
	Args struct {
		Subject string `positional-arg-name:"SUBJECT" description:"Server, customer, list or address"`
	} `positional-args:"yes"`
}

// Execute prints decisions from an entry's journal.
func (c *explainCommand) Execute([]string) error {
	query := url.Values{"part": {c.Part}, "subject": {c.Args.Subject}}
	var entries []journal.Entry
	if text, err := c.ask(c.out, "/journal?"+query.Encode(), &entries); err != nil || !text {
		return err
	}
	for _, e := range entries {
		fmt.Fprintf(c.out, "%s %s: %s %s: %s\n", e.Time.Format(time.RFC3339Nano), e.Part, e.Decision, e.Subject, e.Reason)
	}
	if len(entries) == 0 {
		fmt.Fprintln(c.out, "no decision in the journal concerns this")
	}
	return nil
}
