package control

import (
	"fmt"
	"maps"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/adopt"
	"github.com/baobabstack/baobabstack/internal/view"
)

// publish makes a snapshot of the state and reports what changed in it.
func (c *Control) publish() {
	s := &view.Snapshot{
		Leaving: c.leaving, Lists: make(map[lists.Name]view.List), Seen: maps.Clone(c.seen),
		Refused: make(map[lists.Name]view.Refusal), Suspect: make(map[lists.Name][]string),
		StaleSource: make(map[lists.Name]uint64),
	}
	for _, name := range lists.Names() {
		c.publishList(s, name)
	}
	if plans := c.operators.Plans(); plans != nil {
		s.Plans = plans.List
	}
	if allowances := c.operators.Allowances(); allowances != nil {
		s.Allowances = allowances.List
	}
	if c.platform.servers != nil && s.Allowances != nil {
		s.Services = c.registry.Apply(c.platform.servers, s.Allowances)
	}
	if c.platform.vms != nil {
		s.VMs = c.platform.vms.VMs
		s.Peers = c.peers()
	}
	s.Ready = c.asked && !c.leaving && !c.awaitShares && s.Plans != nil && s.Services != nil && s.VMs != nil
	c.holder.Store(s)
	c.report(s)
}

func (c *Control) publishList(s *view.Snapshot, name lists.Name) {
	list := c.inForce(name)
	if list.Version > 0 {
		s.Lists[name] = list
	}
	if refusal, refused := c.refusal(name); refused {
		s.Refused[name] = refusal
	}
	if kept := c.platform.suspect[name]; len(kept) > 0 {
		s.Suspect[name] = kept
	}
	if source, known := c.source[name]; known && source < list.Version {
		s.StaleSource[name] = source
	}
}

// refusal returns the newest version that is newer than the one in force and
// either invalid or waiting for its partner.
func (c *Control) refusal(name lists.Name) (view.Refusal, bool) {
	var waiting adopt.Waiting
	switch name {
	case lists.PlansName:
		waiting = c.operators.PlansWaiting()
	case lists.AllowancesName:
		waiting = c.operators.AllowancesWaiting()
	}
	if invalid := c.invalid[name]; invalid.Version > waiting.Version {
		return invalid, true
	}
	return view.Refusal{Version: waiting.Version, Reason: waiting.Reason, Waiting: waiting.NeedsOtherList}, waiting.Version > 0
}

// report notes new refusals and sets the metrics of the lists. That a new entry
// has one of the operators' lists before the other is not worth a note.
func (c *Control) report(s *view.Snapshot) {
	for _, name := range lists.Names() {
		refusal, refused := s.Refused[name]
		starting := refusal.Waiting && c.version(name) == 0
		if refused && !starting && refusal != c.reported[name] {
			c.noteRefusal(name, refusal)
		}
		c.reported[name] = refusal
		setGauges(s, name)
	}
}

func (c *Control) noteRefusal(name lists.Name, r view.Refusal) {
	reason := fmt.Sprintf("version %d: %s", r.Version, r.Reason)
	if r.Waiting {
		listsWaiting(name).Inc()
		c.note("list-waiting", name, reason)
		return
	}
	listsRefused(name).Inc()
	c.note("list-refused", name, reason)
}

func (c *Control) note(decision string, name lists.Name, reason string) {
	c.log.Warnf("%s: %s: %s", decision, name, reason)
	c.journal.Add("control", decision, string(name), reason)
}

func (c *Control) peers() []lists.VM {
	var peers []lists.VM
	for _, vm := range c.platform.vms.VMs {
		if vm.Address != c.self {
			peers = append(peers, vm)
		}
	}
	return peers
}
