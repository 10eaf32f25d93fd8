package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// closedReportFor is how long a node reports that it found an upstream's address closed.
	closedReportFor = 600 * time.Millisecond
	// minClosedReports is the number of nodes that must have found an address closed before
	// others avoid it, so that no single node can take an upstream out of service.
	minClosedReports = 2
	// maxClosedEntries bounds the closed addresses in a flight.
	maxClosedEntries = 64
)

// AddressClosed records that a connection to the upstream's address was refused by its host:
// nothing listens there.
//
// A crashed upstream has no requests in progress and so looks idle. Unless nodes tell each
// other, each of them finds out by itself, and again after each ejection.
func (f *Fleet) AddressClosed(u *Upstream, now time.Time) {
	if f.byID[u.ID] == u {
		f.closedAt[u] = now
	}
}

// closedKeys returns the keys of the upstreams whose addresses this node found closed lately,
// sorted.
func (f *Fleet) closedKeys(now time.Time) []uint32 {
	var keys []uint32
	for u, at := range f.closedAt {
		if now.Sub(at) > closedReportFor || f.byID[u.ID] != u {
			delete(f.closedAt, u)
			continue
		}
		keys = append(keys, flightKey(&u.Record))
	}
	slices.Sort(keys)
	return keys[:min(len(keys), maxClosedEntries)]
}

// avoidClosed ejects the upstreams whose addresses enough other nodes found closed. One of them
// tries again once the reports have ended.
func (f *Fleet) avoidClosed(others Flight, now time.Time) {
	for i, key := range others.Closed[:others.closedSize()] {
		u := f.byFlightKey[key]
		if u == nil || others.ClosedBy[i] < minClosedReports {
			continue
		}
		if until := now.Add(ejectBase); until.After(u.ejectedUntil) {
			u.use()
			u.ejectedUntil = until
		}
	}
}

// closedSize returns the number of complete entries of closed addresses.
func (f *Flight) closedSize() int { return min(len(f.Closed), len(f.ClosedBy)) }

// sumClosed returns the closed addresses of all flights, with the number of nodes that found
// each, less those of the flight that is subtracted.
func sumClosed(add []Flight, subtract Flight) (keys []uint32, by []uint16) {
	sum := map[uint32]int{}
	for _, f := range add {
		for i, key := range f.Closed[:f.closedSize()] {
			sum[key] += int(f.ClosedBy[i])
		}
	}
	for i, key := range subtract.Closed[:subtract.closedSize()] {
		sum[key] -= int(subtract.ClosedBy[i])
	}
	for _, key := range slices.Sorted(maps.Keys(sum)) {
		if sum[key] > 0 && len(keys) < maxClosedEntries {
			keys, by = append(keys, key), append(by, uint16(min(sum[key], 1<<16-1)))
		}
	}
	return keys, by
}
