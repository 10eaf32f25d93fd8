package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Speeds summarizes the evidence of one or more nodes about the speed of upstreams: a hash
// that identifies the upstream, the sum of the logarithms of relative pauses in 1/64, and the
// weight in 1/4 of a stream. The three slices are parallel and sorted by key. All are integers,
// so that a node's part can be subtracted exactly.
type Speeds struct {
	Keys    []uint32
	Logs    []int32
	Weights []uint32
}

const (
	logUnit    = 1.0 / 64
	weightUnit = 1.0 / 4
	// maxLogPerWeight is the logarithm of maxSlowness, in units of Logs by those of Weights.
	maxLogPerWeight = 23
	// MaxSpeedEntries is the maximum number of upstreams in the speeds that nodes exchange.
	MaxSpeedEntries = 256
	// speedPeriod is the time between exchanges of speeds. They last, so that they are
	// exchanged less often than in-flight attempts. largeSpeedPeriod is the time in a fleet of
	// more than MaxSpeedEntries upstreams, whose messages are large.
	speedPeriod      = time.Second
	largeSpeedPeriod = 2 * time.Second
)

// size returns the number of complete entries.
func (s *Speeds) size() int { return min(len(s.Keys), len(s.Logs), len(s.Weights)) }

// SumSpeeds adds the evidence of different nodes.
func SumSpeeds(all ...Speeds) Speeds {
	sum := map[uint32]speedEvidence{}
	for _, s := range all {
		for i, key := range s.Keys[:s.size()] {
			e := sum[key]
			sum[key] = speedEvidence{e.logSum + float64(s.Logs[i])*logUnit, e.weight + float64(s.Weights[i])*weightUnit}
		}
	}
	return newSpeeds(sum)
}

// SubtractSpeeds subtracts one node's part from all.
func SubtractSpeeds(all, part Speeds) Speeds {
	remaining := map[uint32]speedEvidence{}
	for i, key := range all.Keys[:all.size()] {
		remaining[key] = speedEvidence{float64(all.Logs[i]) * logUnit, float64(all.Weights[i]) * weightUnit}
	}
	for i, key := range part.Keys[:part.size()] {
		if e, ok := remaining[key]; ok {
			remaining[key] = speedEvidence{e.logSum - float64(part.Logs[i])*logUnit, max(e.weight-float64(part.Weights[i])*weightUnit, 0)}
		}
	}
	return newSpeeds(remaining)
}

// newSpeeds builds speeds from evidence by key, less upstreams without weight.
func newSpeeds(evidence map[uint32]speedEvidence) Speeds {
	keys := make([]uint32, 0, len(evidence))
	for key, e := range evidence {
		if e.weight >= weightUnit {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	s := Speeds{Keys: keys, Logs: make([]int32, 0, len(keys)), Weights: make([]uint32, 0, len(keys))}
	for _, key := range keys {
		e := evidence[key]
		s.Logs = append(s.Logs, int32(min(max(math.Round(e.logSum/logUnit), math.MinInt32), math.MaxInt32)))
		s.Weights = append(s.Weights, uint32(min(math.Round(e.weight/weightUnit), math.MaxUint32)))
	}
	return s
}

// Strongest returns the speeds, or the upstreams that differ most from the usual by the
// evidence if there are more than the limit. Those left out count as usual.
func (s Speeds) Strongest(limit int) Speeds {
	if s.size() <= limit {
		return s
	}
	indexes := make([]int, s.size())
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortFunc(indexes, func(a, b int) int {
		return cmp.Or(cmp.Compare(magnitude(s.Logs[b]), magnitude(s.Logs[a])), cmp.Compare(s.Weights[b], s.Weights[a]), cmp.Compare(a, b))
	})
	return s.at(indexes[:limit])
}

// at returns the entries at the indexes, which it sorts.
func (s Speeds) at(indexes []int) Speeds {
	slices.Sort(indexes)
	var out Speeds
	for _, i := range indexes {
		out.Keys, out.Logs, out.Weights = append(out.Keys, s.Keys[i]), append(out.Logs, s.Logs[i]), append(out.Weights, s.Weights[i])
	}
	return out
}

func magnitude(log int32) int64 { return max(int64(log), -int64(log)) }

// Bounded returns the speeds within what the given number of nodes may know. It changes no
// honest report, and keeps a faulty one from outweighing all others.
func (s Speeds) Bounded(nodes int) Speeds {
	out := Speeds{Keys: s.Keys[:s.size()]}
	for i := range out.Keys {
		weight := min(s.Weights[i], uint32(nodes)*uint32(maxNodeWeight/weightUnit))
		limit := int64(weight) * maxLogPerWeight
		out.Weights = append(out.Weights, weight)
		out.Logs = append(out.Logs, int32(min(max(int64(s.Logs[i]), -limit), limit)))
	}
	return out
}

// Speeds returns this node's evidence, if speeds are due to be exchanged; ok is false otherwise.
// A node that observes nothing takes part if an upstream reported its machine, or if it relays
// other nodes' evidence.
func (f *Fleet) Speeds(relays bool, now time.Time) (s Speeds, ok bool) {
	if !relays && len(f.usual.tracked) == 0 || now.Sub(f.speedsSentAt) < f.speedPeriod() {
		return Speeds{}, false
	}
	f.speedsSentAt = now
	evidence := map[uint32]speedEvidence{}
	for u := range f.observed {
		e := u.speed.own.decayed(now.Sub(u.speed.ownAt))
		if e.weight < weightUnit {
			delete(f.observed, u)
			continue
		}
		evidence[flightKey(&u.Record)] = e
	}
	return newSpeeds(evidence).Strongest(MaxSpeedEntries).Bounded(1), true
}

// speedPeriod returns the time between two exchanges of speeds.
func (f *Fleet) speedPeriod() time.Duration {
	if len(f.byID) > MaxSpeedEntries {
		return largeSpeedPeriod
	}
	return speedPeriod
}

// ApplySpeeds sets the evidence of other nodes: all, less this node's part in it. What all does
// not mention stays and decays.
func (f *Fleet) ApplySpeeds(all, sent Speeds, now time.Time) {
	others := SubtractSpeeds(all, sent)
	for i, key := range others.Keys {
		u := f.byFlightKey[key]
		if u == nil || !f.usual.tracks(u.Service) {
			continue
		}
		e := speedEvidence{float64(others.Logs[i]) * logUnit, float64(others.Weights[i]) * weightUnit}
		limit := e.weight * math.Log(maxSlowness)
		e.logSum = min(max(e.logSum, -limit), limit)
		u.use()
		u.speed.setOthers(e, now)
	}
}
