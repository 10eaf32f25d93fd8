package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Flight summarizes the in-flight attempts of one or more nodes by upstream: a hash that
// identifies the upstream, the number of attempts, and the work of those whose responses
// have not started. The three slices are parallel and sorted by key.
type Flight struct {
	Keys   []uint32
	Counts []uint16
	Work   []uint32
	// Closed are the keys of upstreams whose addresses nodes found closed lately, sorted, and
	// ClosedBy the number of those nodes. The two slices are parallel.
	Closed   []uint32
	ClosedBy []uint16
}

// flightEntry is one upstream's entry in a [Flight].
type flightEntry struct {
	count uint16
	work  uint32
}

// flightKey identifies an incarnation of an upstream in a [Flight].
func flightKey(r *Record) uint32 { return uint32(xxhash.Sum64String(r.Incarnation())) }

// Sum adds the flights of different nodes.
func Sum(flights ...Flight) Flight {
	sum := map[uint32]flightEntry{}
	for _, f := range flights {
		for i, key := range f.Keys[:f.size()] {
			c := sum[key]
			sum[key] = flightEntry{c.count + f.Counts[i], c.work + f.Work[i]}
		}
	}
	all := newFlight(sum)
	all.Closed, all.ClosedBy = sumClosed(flights, Flight{})
	return all
}

// Subtract subtracts part from all, entry by entry; no entry falls below 0.
func Subtract(all, part Flight) Flight {
	remaining := map[uint32]flightEntry{}
	for i, key := range all.Keys[:all.size()] {
		remaining[key] = flightEntry{all.Counts[i], all.Work[i]}
	}
	for i, key := range part.Keys[:part.size()] {
		c := remaining[key]
		remaining[key] = flightEntry{c.count - min(c.count, part.Counts[i]), c.work - min(c.work, part.Work[i])}
	}
	rest := newFlight(remaining)
	rest.Closed, rest.ClosedBy = sumClosed([]Flight{all}, part)
	return rest
}

// size returns the number of complete entries: a peer may send slices that differ in
// length.
func (f *Flight) size() int { return min(len(f.Keys), len(f.Counts), len(f.Work)) }

// newFlight builds a flight from entries by key.
func newFlight(entries map[uint32]flightEntry) Flight {
	f := Flight{}
	for key := range entries {
		f.Keys = append(f.Keys, key)
	}
	slices.Sort(f.Keys)
	for _, key := range f.Keys {
		f.Counts = append(f.Counts, entries[key].count)
		f.Work = append(f.Work, entries[key].work)
	}
	return f
}

const (
	// maxFlightEntries is the maximum number of upstreams in a flight that nodes exchange.
	maxFlightEntries = 256
	// minSharedCount is the least number of attempts for which an upstream is in a flight
	// with more upstreams than that.
	minSharedCount = 2
)

// Busiest returns the flight, or its busiest upstreams if there are more than 256. Those left
// out are nearly idle: their attempts hardly change a choice, and in a large fleet they are
// most of the upstreams in use.
func (f Flight) Busiest() Flight {
	if f.size() <= maxFlightEntries {
		return f
	}
	indexes := make([]int, 0, f.size())
	for i, count := range f.Counts[:f.size()] {
		if count >= minSharedCount {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) > maxFlightEntries {
		slices.SortFunc(indexes, func(a, b int) int {
			return cmp.Or(cmp.Compare(f.Counts[b], f.Counts[a]), cmp.Compare(f.Work[b], f.Work[a]), cmp.Compare(a, b))
		})
		indexes = indexes[:maxFlightEntries]
		slices.Sort(indexes)
	}
	busiest := Flight{Closed: f.Closed, ClosedBy: f.ClosedBy}
	for _, i := range indexes {
		busiest.Keys = append(busiest.Keys, f.Keys[i])
		busiest.Counts = append(busiest.Counts, f.Counts[i])
		busiest.Work = append(busiest.Work, f.Work[i])
	}
	return busiest
}

// Flight returns this node's in-flight attempts and the addresses that it found closed.
func (f *Fleet) Flight(now time.Time) Flight {
	own := map[uint32]flightEntry{}
	for u := range f.inUse {
		own[flightKey(&u.Record)] = flightEntry{uint16(u.inFlight), uint32(u.pendingWork)}
	}
	flight := newFlight(own)
	for _, key := range f.closedKeys(now) {
		flight.Closed, flight.ClosedBy = append(flight.Closed, key), append(flight.ClosedBy, 1)
	}
	return flight
}

// ApplyFlight sets the in-flight attempts of other nodes: all, which sums over all nodes,
// less sent, this node's own part in that sum.
//
// Each node sends only a small part of the load, and an upstream's own reports are not
// enough. They come with the start of a response, so that an upstream in a long prefill or
// with a full batch reports nothing. They are also about a second old when they reach most
// nodes.
func (f *Fleet) ApplyFlight(all, sent Flight, now time.Time) {
	f.flights.number, f.flights.at = f.flights.number+1, now
	remaining := Subtract(all, sent)
	var mentioned []*Upstream
	for i, key := range remaining.Keys {
		if u := f.byFlightKey[key]; u != nil {
			u.use()
			u.othersInFlight, u.othersPending, u.flightRound = float64(remaining.Counts[i]), float64(remaining.Work[i]), f.flights.number
			f.flights.noteLoad(u.othersInFlight+float64(u.inFlight), u.Slots, now)
			mentioned = append(mentioned, u)
		}
	}
	f.closedElsewhere = remaining.Closed
	f.avoidClosed(remaining, now)
	f.noteCrowded(mentioned, now)
}

// flightRound identifies the latest exchange of in-flight attempts with other nodes.
// Upstreams that it does not mention have none.
type flightRound struct {
	// number is 0 before the first round.
	number uint64
	at     time.Time
	// period is the time until the next round.
	period time.Duration
	// busyUntil is until when upstreams count as loaded.
	busyUntil time.Time
}

const (
	// busyFlightPeriod is the time between rounds while upstreams are loaded, idleFlightPeriod
	// that while none is known to be.
	busyFlightPeriod = 200 * time.Millisecond
	idleFlightPeriod = time.Second
	// loadedShare is the share of its slots in use from which an upstream counts as loaded.
	loadedShare = 0.5
	// loadedHold is how long upstreams count as loaded after one was.
	loadedHold = 3 * time.Second
	// freshPeriods is the number of periods for which a round is recent enough to use.
	freshPeriods = 3.5
)

// FlightPeriod returns the time until the next exchange of in-flight attempts.
//
// While no upstream is loaded, other nodes' attempts hardly change a choice, and the exchange
// is most of what the nodes of a large idle fleet do.
func (f *Fleet) FlightPeriod(now time.Time) time.Duration {
	f.flights.period = idleFlightPeriod
	if now.Before(f.flights.busyUntil) {
		f.flights.period = busyFlightPeriod
	}
	return f.flights.period
}

// noteLoad records the number of requests at an upstream.
func (r *flightRound) noteLoad(requests float64, slots int, now time.Time) {
	if requests >= loadedShare*float64(slots) {
		r.busyUntil = now.Add(loadedHold)
	}
}

// isFresh reports whether the round is recent enough to use.
func (r *flightRound) isFresh(now time.Time) bool {
	return r.number > 0 && now.Sub(r.at) <= r.freshFor()
}

// freshFor returns how long a round is recent enough to use.
func (r *flightRound) freshFor() time.Duration {
	return time.Duration(freshPeriods * float64(max(r.period, busyFlightPeriod)))
}
