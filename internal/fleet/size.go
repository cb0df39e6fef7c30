package fleet

import (
	"slices"
	"time"
)

const (
	// settleTime is the time after the start until a gateway has heard of nearly all others,
	// see TestNewsReachesALargeFleet.
	settleTime = 12 * gossipInterval
	// stableTime is how long the count must not have grown before it may be that of the whole
	// fleet. It grows step by step after a start and after the end of a cut.
	stableTime = 4 * gossipInterval
)

// Size is what a gateway knows of the number of gateways that share the fleet's limits.
type Size struct {
	// Gateways is the number of gateways known to share the limits, at least 1.
	Gateways int
	// Local is the number of those that are in this gateway's data centre, at least 1.
	Local int
	// Known says that no other gateways are expected. It is false until the gateway has
	// heard from all seeds after settleTime and stableTime, or from a member of its data centre
	// that has: a seed that was not reached may be one of many gateways that run cut off. A
	// gateway that is the only seed and has met no other need not wait.
	Known bool
}

// sizeState is the part of Members that Size reads.
type sizeState struct {
	known bool
	// isOnlySeed says that this gateway is a seed and no other is.
	isOnlySeed bool
	// largest is the highest count so far, and grownAt when it was reached.
	largest int
	grownAt time.Time
	// told is the highest count that a member of the data centre reports.
	told int
	// peaks are the highest counts in the present and in the previous window of Size, and
	// localPeaks those of the own data centre; peakStart is the start of the present one.
	peaks      [2]int
	localPeaks [2]int
	peakStart  time.Time
}

// LiveCount returns the number of live gateways, this one included. Of each data centre it
// counts the known members, or those that follow the same member if that are more.
func (m *Members) LiveCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countLocked(func(k *member) bool { return k.live(now) })
}

// countLocked counts the gateways as LiveCount does, from the members for which keep is
// true. The caller holds m.mu.
func (m *Members) countLocked(keep func(*member) bool) int {
	sum := 0
	for _, n := range m.countZonesLocked(keep) {
		sum += n
	}
	return sum
}

// countZonesLocked counts the gateways of each data centre as LiveCount does, from the members
// for which keep is true. The caller holds m.mu.
func (m *Members) countZonesLocked(keep func(*member) bool) map[string]int {
	type count struct{ known, following int }
	zones := map[string]count{m.self.Zone: {known: 1, following: 1 + int(m.self.Followers)}}
	for _, k := range m.known {
		if keep(k) {
			c := zones[k.wire.Zone]
			zones[k.wire.Zone] = count{c.known + 1, max(c.following, 1+int(k.wire.Followers))}
		}
	}
	out := make(map[string]int, len(zones))
	for zone, c := range zones {
		out[zone] = max(c.known, c.following)
	}
	return out
}

// sharingLocked counts the gateways that may share the fleet's limits: those that are live,
// and silent ones that have not left. The caller holds m.mu.
func (m *Members) sharingLocked() int { return m.countLocked(hasNotLeft) }

// hasNotLeft reports whether a member may use its part of the fleet's limits.
func hasNotLeft(k *member) bool { return !k.wire.Leaving }

// Size returns the number of gateways by which a limit of the fleet is divided. A member
// that falls silent without leaving counts until it is forgotten, because it may be cut off
// and use its part. One that leaves counts until the end of the window after the one in
// which it left, because a budget over a window remembers what it has spent. All calls must
// give the same window.
func (m *Members) Size(window time.Duration, now time.Time) Size {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.size
	if passed := now.Sub(s.peakStart); passed >= window {
		s.peaks[1], s.localPeaks[1] = s.peaks[0], s.localPeaks[0]
		if passed >= 2*window {
			s.peaks[1], s.localPeaks[1] = 0, 0
		}
		s.peaks[0], s.localPeaks[0], s.peakStart = 0, 0, now
	}
	sharing := 0
	zones := m.countZonesLocked(hasNotLeft)
	for _, n := range zones {
		sharing += n
	}
	s.peaks[0] = max(s.peaks[0], sharing, s.told)
	s.localPeaks[0] = max(s.localPeaks[0], zones[m.self.Zone])
	n := max(s.peaks[0], s.peaks[1])
	return Size{Gateways: n, Local: max(s.localPeaks[0], s.localPeaks[1]), Known: s.known || (n == 1 && s.isOnlySeed)}
}

// findUnheardSeeds returns the seeds' gossip addresses from which nothing was heard since
// settleTime after the start and stableTime after the count has grown, for the caller to ask.
// Only the gateway that ranks first in its data centre asks; the others hear from it. The
// fleet's size is known from now on if no seed is unheard or a member of the data centre
// knows it, and after forgetTimeout, since seeds may be stale. Callers call it in each
// gossipInterval from the start on.
func (m *Members) findUnheardSeeds(seeds []string, started, now time.Time) (unheard []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.size
	others := slices.ContainsFunc(seeds, func(seed string) bool { return seed != m.self.GossipAddress })
	s.isOnlySeed = len(seeds) > 0 && !others
	sharing := m.sharingLocked()
	if sharing > s.largest {
		s.largest, s.grownAt = sharing, now
	}
	settled := started.Add(settleTime)
	if stable := s.grownAt.Add(stableTime); stable.After(settled) {
		settled = stable
	}
	if !s.known && now.Before(settled) {
		return nil
	}
	heard := map[string]bool{m.self.GossipAddress: true}
	first := true
	s.told = 0
	for _, k := range m.known {
		recent := !k.heardAt.Before(settled)
		heard[k.wire.GossipAddress] = recent
		if k.wire.Zone == m.self.Zone && k.live(now) {
			first = first && compareRank(m.self, k.wire) < 0
			if recent {
				s.told = max(s.told, int(k.wire.Sharing))
			}
		}
	}
	for _, seed := range seeds {
		if !heard[seed] {
			unheard = append(unheard, seed)
		}
	}
	if !s.known && (len(unheard) == 0 || s.told > 0 || now.Sub(started) >= settleTime+forgetTimeout) {
		s.known = true
		m.log.With("gateways", max(sharing, s.told)).With("unheard_seeds", unheard).Infof("size of the fleet is known")
	}
	switch {
	case s.known:
		m.self.Sharing = uint32(sharing) //nolint:gosec // a count of gateways
		return nil
	case !first:
		return nil
	}
	return unheard
}
