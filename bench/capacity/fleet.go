package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// size is one configuration of a control measurement.
type size struct {
	servers, entries int
}

// sample is what one entry spends on control at a size, averaged over entries.
type sample struct {
	size
	// cpu is the share of a core without changes, in percent.
	cpu float64
	// bytes is the traffic with peers without changes, in bytes a second.
	bytes float64
	// memory is the resident memory, in bytes.
	memory float64
	// reads is the reads of the configuration service, a second and entry.
	reads float64
	// cpuPerChange is the processor time of one change of the servers list, in
	// milliseconds.
	cpuPerChange float64
	// bytesPerChange is the traffic with peers for one change, in bytes.
	bytesPerChange float64
	// spread is the longest time until a change was in force everywhere, in
	// seconds.
	spread float64
}

const (
	peerBytes  = "baobab_peer_bytes_total"
	settleTime = 2 * time.Second
	// settlePerEntry is the time in which an entry meets one more peer; until it
	// has met all, new connections cost it processor time.
	settlePerEntry = 750 * time.Millisecond
	spreadLimit    = 30 * time.Second
	pollInterval   = 5 * time.Millisecond
	listeners      = 8
	serverSlots    = 6
	serviceCount   = 260
)

// window is how long an idle or changing fleet is watched.
type window struct {
	idle    time.Duration
	changes int
	every   time.Duration
}

// measure starts a fleet of the given size and watches it.
func measure(ctx context.Context, binary string, at size, w window) (sample, error) {
	fleet, err := standin.StartFleet(ctx, standin.FleetOptions{
		Entries: at.entries, Binary: binary, Servers: sharedListeners(),
	})
	if err != nil {
		return sample{}, err
	}
	defer fleet.Close()
	p := probe{fleet: fleet, size: at}
	if err := p.change(ctx, 0); err != nil {
		return sample{}, err
	}
	time.Sleep(settleTime + time.Duration(at.entries)*settlePerEntry)
	return p.watch(ctx, w)
}

// sharedListeners returns the few fake servers whose addresses all servers of
// the list share; no calls are sent.
func sharedListeners() map[string][]standin.ServerOptions {
	var options []standin.ServerOptions
	for i := range listeners {
		options = append(options, standin.ServerOptions{ID: fmt.Sprintf("listener-%d", i), Slots: serverSlots, Queue: serverSlots})
	}
	return map[string][]standin.ServerOptions{"stock": options}
}

// probe watches a running fleet.
type probe struct {
	fleet *standin.Fleet
	size  size
}

// change publishes a servers list of the probe's size with one state changed,
// waits until it is in force everywhere and returns an error if it isn't.
func (p *probe) change(ctx context.Context, round int) error {
	version := p.fleet.Platform.Publish(string(lists.ServersName), p.serverList(round))
	return p.awaitVersion(ctx, version)
}

func (p *probe) serverList(round int) []byte {
	list := make([]lists.Server, 0, p.size.servers)
	addresses := make([]string, 0, listeners)
	for i := range listeners {
		addresses = append(addresses, p.fleet.Servers[fmt.Sprintf("listener-%d", i)].Info.Address)
	}
	for i := range p.size.servers {
		state := lists.Live
		if i == round%p.size.servers {
			state = lists.Leaving
		}
		list = append(list, lists.Server{
			ID: fmt.Sprintf("server-%04d", i), Service: fmt.Sprintf("service-%03d", i%serviceCount),
			Address: addresses[i%listeners], DataCentre: fmt.Sprintf("dc-%d", i%10), State: state,
		})
	}
	return standin.SampleServers(list)
}

func (p *probe) awaitVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	for _, e := range p.fleet.Entries {
		for {
			held, err := versionAt(ctx, e.Admin)
			if err != nil {
				return err
			}
			if held >= version {
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// versionAt returns the version of the servers list in force at an entry.
func versionAt(ctx context.Context, admin string) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", http.NoBody)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer res.Body.Close()
	var status struct {
		Versions map[string]uint64 `json:"versions"`
	}
	err = json.NewDecoder(res.Body).Decode(&status)
	return status.Versions[string(lists.ServersName)], errors.WithStack(err)
}
