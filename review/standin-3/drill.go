package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() {
	cases["drill"] = func(b *bench) error { return drill(b, false) }
	cases["reused"] = func(b *bench) error { return drill(b, true) }
}

type routeText map[string]any

func route(name, host, prefix, kind, service string, priority int) routeText {
	return routeText{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout": "1500ms", "target_latency": "500ms",
		"priority": priority, "service": service, "attempts": 2,
	}
}

func configuration(version int, services []string, routes ...routeText) []byte {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false})
	}
	out, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	return out
}

const (
	host      = "jepu9.example"
	copyAge   = 4 * time.Second // of the copy from which the store comes back
	storeAway = time.Second
)

// drill plays a drill of the platform's store: it is away for a moment and comes back from a
// copy some seconds old. Long after that the operator moves a route to another service, drops
// one and adds one. The check is the rule CONFIG.
//
// With reused set, version 3 comes as soon as the store is back, and the servers write so much that
// the lost revisions have been given out again before a gateway asks: no watch gets 410.
func drill(b *bench, reused bool) error {
	var err error
	zones := []string{"modjo", "adama", "addis-ab"}
	if b.all, err = newGateways(b.dir, b.store.address, zones); err != nil {
		return err
	}
	services := []string{"boxfinder", "reposition", "reposition-new"}
	newBackend := func(service string, n int) (*backend, error) {
		s, err := startBackend(fmt.Sprintf("i-%s-%d", service, n), service, zones[n%3], "127.0.0.1:0", 20*time.Millisecond, b.onRun)
		if err == nil {
			b.note("server    %s at %s", s.id, s.address)
		}
		return s, err
	}
	write := func(s *backend, warmup time.Duration) {
		b.note("store     revision %d: entry of %s, warmup_left %s", b.store.put(s.key(), s.entry(warmup)), s.id, warmup)
	}
	configure := func(why string, version int, value []byte) {
		b.note("store     revision %d: op/config, version %08x %s", b.store.put("op/config", value), version, why)
	}
	one := configuration(1, services, route("check", host, "/check/", "safe", "boxfinder", 2),
		route("move", host, "/move/", "unsafe", "reposition", 1), route("old", host, "/old/", "safe", "boxfinder", 2))
	two := configuration(2, services, route("check", host, "/check/", "safe", "boxfinder", 2),
		route("move", host, "/move/", "unsafe", "reposition", 1), route("old", host, "/old/", "safe", "boxfinder", 2),
		route("trial", host, "/trial/", "safe", "reposition-new", 2))
	three := configuration(3, services, route("check", host, "/check/", "safe", "boxfinder", 2),
		route("move", host, "/move/", "unsafe", "reposition-new", 1), route("trial", host, "/trial/", "safe", "reposition-new", 2),
		route("new", host, "/new/", "safe", "boxfinder", 2))
	configure("", 1, one)
	for _, service := range services[:2] {
		for n := range 3 {
			s, err := newBackend(service, n)
			if err != nil {
				return err
			}
			write(s, 0)
		}
	}
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)

	// Planned work, some seconds before the drill: servers of a new service start, and a
	// configuration with a route to them follows.
	old := b.store.copyNow()
	copied := time.Now()
	b.note("store     a copy is made at revision %d", old.rev)
	var added []*backend
	for n := range 4 {
		s, err := newBackend("reposition-new", n)
		if err != nil {
			return err
		}
		added = append(added, s)
	}
	for _, left := range []time.Duration{3 * time.Second, 1500 * time.Millisecond, 0} {
		for _, s := range added {
			write(s, left)
		}
		if left > 0 {
			time.Sleep(1500 * time.Millisecond)
		}
	}
	configure("", 2, two)
	time.Sleep(time.Until(copied.Add(copyAge)))

	if b.trouble {
		b.note("store     away at revision %d", b.store.revision())
		b.store.leave()
		time.Sleep(storeAway)
		b.store.comeBack(&old)
		b.note("store     back from the copy, which is %s old, at revision %d, in a new era", copyAge, b.store.revision())
		if !reused {
			time.Sleep(300 * time.Millisecond)
		}
		for _, s := range added { // what the servers and the operator wrote is written again
			write(s, 0)
		}
		configure("again", 2, two)
	} else {
		time.Sleep(storeAway)
	}
	if reused {
		configure("", 3, three)
		for _, s := range added { // these become cold again for a moment, which they write
			write(s, 200*time.Millisecond)
			write(s, 0)
		}
	}
	time.Sleep(2*boundContact + 2*time.Second)

	if !reused {
		b.probe("before version 3", false)
		configure("", 3, three)
		time.Sleep(boundConfigApply + 500*time.Millisecond)
	}
	for range 8 {
		b.probe("after version 3", true)
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// probe sends a request to each gateway on each route that version 3 changes. The flag says
// whether that version must be in force.
func (b *bench) probe(when string, after bool) {
	service := "reposition"
	if after {
		service = "reposition-new"
	}
	for _, g := range b.all {
		a := send(g.front(), "POST", host, "/move/box", "move box 7", 1500*time.Millisecond)
		ran := b.ranAt(a.id)
		b.note("answered  %s %s POST /move/box: %d %v %v", g.name, a.id, a.status, ran, a.err)
		if len(ran) == 1 && ran[0] != service {
			b.violation("%s, %s: %s is run by %s, where only an older version sends it", when, g.name, a.id, ran[0])
		}
		a = send(g.front(), "GET", host, "/old/x", "", 1500*time.Millisecond)
		ran = b.ranAt(a.id)
		b.note("answered  %s %s GET /old/x: %d %v %v", g.name, a.id, a.status, ran, a.err)
		if after && len(ran) > 0 {
			b.violation("%s, %s: %s is run on a route that was dropped", when, g.name, a.id)
		}
		a = send(g.front(), "GET", host, "/new/x", "", 1500*time.Millisecond)
		b.note("answered  %s %s GET /new/x: %d %v %v", g.name, a.id, a.status, b.ranAt(a.id), a.err)
		if after && a.status == 404 {
			b.violation("%s, %s: %s gets 404 although the route is there", when, g.name, a.id)
		}
	}
}
