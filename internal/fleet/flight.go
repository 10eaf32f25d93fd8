package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Flight is what some nodes have under way, by upstream: its key, how many
// attempts run or wait there, and the work of those whose answers have not
// begun. The three lists are parallel and ordered by key.
type Flight struct {
	Keys   []uint32
	Counts []uint16
	Work   []uint32
}

// cell is one upstream's part of a flight.
type cell struct {
	count uint16
	work  uint32
}

// flightKey names a start of an upstream in a [Flight].
func flightKey(r *Record) uint32 { return uint32(xxhash.Sum64String(r.Start())) }

// Sum adds flights of different nodes.
func Sum(flights ...Flight) Flight {
	sum := map[uint32]cell{}
	for _, f := range flights {
		for i, key := range f.Keys[:f.len()] {
			c := sum[key]
			sum[key] = cell{c.count + f.Counts[i], c.work + f.Work[i]}
		}
	}
	return flightOf(sum)
}

// Less takes a part from a sum; what the sum does not have is left.
func Less(all, part Flight) Flight {
	rest := map[uint32]cell{}
	for i, key := range all.Keys[:all.len()] {
		rest[key] = cell{all.Counts[i], all.Work[i]}
	}
	for i, key := range part.Keys[:part.len()] {
		c := rest[key]
		rest[key] = cell{c.count - min(c.count, part.Counts[i]), c.work - min(c.work, part.Work[i])}
	}
	return flightOf(rest)
}

// len is how many entries the flight has; a peer may have sent lists that differ
// in length.
func (f *Flight) len() int { return min(len(f.Keys), len(f.Counts), len(f.Work)) }

func flightOf(cells map[uint32]cell) Flight {
	f := Flight{}
	for key := range cells {
		f.Keys = append(f.Keys, key)
	}
	slices.Sort(f.Keys)
	for _, key := range f.Keys {
		f.Counts = append(f.Counts, cells[key].count)
		f.Work = append(f.Work, cells[key].work)
	}
	return f
}

// Flight returns what this node has under way.
func (f *Fleet) Flight() Flight {
	own := map[uint32]cell{}
	for _, u := range f.byID {
		if u.inFlight > 0 {
			own[flightKey(&u.Record)] = cell{uint16(u.inFlight), uint32(u.pending)}
		}
	}
	return flightOf(own)
}

// TakeFlight takes what all nodes have under way, this one's part included as it
// was told: sent.
//
// It guards against nodes that each know a small part of the load. An upstream's
// own word comes with the beginning of an answer, so that one which reads a long
// prompt or is full says nothing while it matters, and words are a second old
// when most nodes hear them.
func (f *Fleet) TakeFlight(all, sent Flight, now time.Time) {
	rest := Less(all, sent)
	others := make(map[uint32]cell, len(rest.Keys))
	for i, key := range rest.Keys {
		others[key] = cell{rest.Counts[i], rest.Work[i]}
	}
	for _, u := range f.byID {
		c := others[flightKey(&u.Record)]
		u.othersFlight, u.othersPending, u.flightAt = float64(c.count), float64(c.work), now
	}
}
