package control

import (
	"fmt"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/adopt"
	"github.com/baobabstack/baobabstack/internal/view"
)

// ListArrived says that a list came from the configuration service or a peer.
type ListArrived struct {
	// Name and Version identify the list.
	Name    lists.Name
	Version uint64
	// Body is the list's text.
	Body []byte
	// Source says where it came from, for the log.
	Source string
	// Peer says that it is in force at a peer, and Compared that some entry
	// compared it with an older list.
	Peer     bool
	Compared bool
}

// SourceSeen says which version of a list the configuration service serves.
type SourceSeen struct {
	// Name and Version identify the list.
	Name    lists.Name
	Version uint64
}

func (e SourceSeen) apply(c *Control) {
	before, known := c.source[e.Name]
	if known && before == e.Version {
		return
	}
	c.source[e.Name] = e.Version
	held := c.version(e.Name)
	if e.Version < held {
		c.note("stale-source", e.Name, fmt.Sprintf("the configuration service serves version %d; %d is in force", e.Version, held))
	}
	c.publish()
}

func (e ListArrived) apply(c *Control) {
	if !c.asked && !e.Peer && e.Name != lists.VMsName {
		c.hold(e)
		return
	}
	if e.Version <= c.version(e.Name) && !defect.On("config-version-check") {
		return
	}
	known := e.Version <= c.seen[e.Name]
	c.seen[e.Name] = max(c.seen[e.Name], e.Version)
	if faults := c.accept(e); len(faults) > 0 && !known {
		c.refuse(e, faults)
	}
	c.publish()
}

// hold keeps a list that came before the peers were asked.
func (c *Control) hold(e ListArrived) {
	if e.Version > c.early[e.Name].Version {
		c.early[e.Name] = e
	}
}

// version returns the version in force, 0 if none is.
func (c *Control) version(name lists.Name) uint64 { return c.inForce(name).Version }

func (c *Control) inForce(name lists.Name) view.List {
	plans, allowances := c.operators.Plans(), c.operators.Allowances()
	switch {
	case name == lists.PlansName && plans != nil:
		return view.List{Version: plans.Version, Body: plans.Body, Compared: plans.Compared}
	case name == lists.AllowancesName && allowances != nil:
		return view.List{Version: allowances.Version, Body: allowances.Body, Compared: allowances.Compared}
	default:
		return c.platform.texts[name]
	}
}

// accept parses a list. A platform list comes in force at once, an operators'
// list becomes a candidate.
func (c *Control) accept(e ListArrived) []error {
	file := string(e.Name)
	switch e.Name {
	case lists.PlansName:
		list, faults := lists.ParsePlans(file, e.Body)
		if len(faults) == 0 {
			c.operators.OfferPlans(adopt.Candidate[lists.Plans]{Version: e.Version, List: list, Body: e.Body, Compared: e.Compared})
			c.settle(e.Source)
		}
		return faults
	case lists.AllowancesName:
		list, faults := lists.ParseAllowances(file, e.Body)
		if len(faults) == 0 {
			c.operators.OfferAllowances(adopt.Candidate[lists.Allowances]{Version: e.Version, List: list, Body: e.Body, Compared: e.Compared})
			c.settle(e.Source)
		}
		return faults
	case lists.ServersName:
		list, faults := lists.ParseServers(file, e.Body)
		if len(faults) == 0 {
			c.platform.setServers(list)
			c.applied(e)
		}
		return faults
	case lists.VMsName:
		list, faults := lists.ParseVMs(file, e.Body)
		if len(faults) == 0 {
			c.platform.setVMs(list)
			c.applied(e)
		}
		return faults
	}
	return nil
}

// settle puts the newest consistent pair of operators' lists in force.
func (c *Control) settle(source string) {
	before := map[lists.Name]uint64{
		lists.PlansName:      c.version(lists.PlansName),
		lists.AllowancesName: c.version(lists.AllowancesName),
	}
	for c.operators.AdoptNewest() {
		c.log.Debugf("the newest consistent pair of operators' lists is in force")
	}
	for name, version := range before {
		if now := c.version(name); now != version {
			c.inForceNow(name, now, source)
		}
	}
}

// applied notes a platform list that came in force.
func (c *Control) applied(e ListArrived) {
	c.platform.texts[e.Name] = view.List{Version: e.Version, Body: e.Body}
	c.inForceNow(e.Name, e.Version, e.Source)
	if kept := c.platform.suspect[e.Name]; len(kept) > 0 {
		suspectShrinks(e.Name).Inc()
		c.note("suspect-shrink", e.Name, fmt.Sprintf("version %d drops more than half at once; %d of them count until a further version confirms it", e.Version, len(kept)))
	}
}

func (c *Control) inForceNow(name lists.Name, version uint64, source string) {
	c.log.Infof("%s version %d from %s is in force", name, version, source)
	c.journal.Add("control", "list-in-force", string(name), fmt.Sprintf("version %d from %s", version, source))
	if c.invalid[name].Version <= version {
		delete(c.invalid, name)
	}
}

func (c *Control) refuse(e ListArrived, faults []error) {
	reason := faults[0].Error()
	if len(faults) > 1 {
		reason = fmt.Sprintf("%s (and %d more faults)", reason, len(faults)-1)
	}
	if e.Version > c.invalid[e.Name].Version {
		c.invalid[e.Name] = view.Refusal{Version: e.Version, Reason: reason}
	}
}
