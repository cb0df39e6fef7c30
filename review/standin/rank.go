package main

import (
	"encoding/binary"
	"math/bits"
	"sort"
)

// ranked returns the gateways in the order in which the program under test prefers them as
// sources on machines of one kind: by the xxHash64 of their names. The order only decides
// which machines lose power; any may.
func ranked(list []*gateway) []*gateway {
	out := append([]*gateway(nil), list...)
	sort.Slice(out, func(a, b int) bool { return xxhash64(out[a].name) < xxhash64(out[b].name) })
	return out
}

// firstOfZones returns the first n gateways of each zone in that order.
func firstOfZones(list []*gateway, n int) (out []*gateway) {
	count := make(map[string]int)
	for _, g := range ranked(list) {
		if count[g.zone]++; count[g.zone] <= n {
			out = append(out, g)
		}
	}
	return out
}

const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime3 uint64 = 1609587929392839161
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

// xxhash64 returns the hash of a text of less than 32 bytes, with seed 0.
func xxhash64(text string) uint64 {
	b := []byte(text)
	h := prime5 + uint64(len(b))
	for ; len(b) >= 8; b = b[8:] {
		k := bits.RotateLeft64(binary.LittleEndian.Uint64(b)*prime2, 31) * prime1
		h = bits.RotateLeft64(h^k, 27)*prime1 + prime4
	}
	if len(b) >= 4 {
		h = bits.RotateLeft64(h^uint64(binary.LittleEndian.Uint32(b))*prime1, 23)*prime2 + prime3
		b = b[4:]
	}
	for _, c := range b {
		h = bits.RotateLeft64(h^uint64(c)*prime5, 11) * prime1
	}
	h = (h ^ h>>33) * prime2
	h = (h ^ h>>29) * prime3
	return h ^ h>>32
}
