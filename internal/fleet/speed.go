package fleet

import (
	"math"
	"time"
)

const (
	// slownessPrior is the weight of the assumption that an upstream is as quick as usual, in
	// observed streams.
	slownessPrior = 1.5
	// slownessHalfLife is the half-life of the weight of an observed stream. An upstream that
	// gets no work any more counts as usual again after a while, and so gets some.
	slownessHalfLife = 8 * time.Second
	// maxSlowness bounds what is believed of an upstream, in either direction.
	maxSlowness = 4.0
	// maxNodeWeight bounds the weight of one node's observations of an upstream.
	maxNodeWeight = 8.0
	// machineHalfLife is the half-life of what an upstream reported of its machine, whose
	// other work comes and goes within a second.
	machineHalfLife = 300 * time.Millisecond
	// machineReportMemory is how long such a report counts at all.
	machineReportMemory = 10 * machineHalfLife
)

// speedEvidence is a decayed sum of observed streams: the logarithms of their pauses, relative
// to the usual pause, and their weights.
type speedEvidence struct {
	logSum, weight float64
}

// decayed returns the evidence after a time.
func (e speedEvidence) decayed(age time.Duration) speedEvidence {
	f := math.Exp2(-float64(max(age, 0)) / float64(slownessHalfLife))
	return speedEvidence{e.logSum * f, e.weight * f}
}

// bounded returns the evidence within the bounds of one node's.
func (e speedEvidence) bounded() speedEvidence {
	weight := min(max(e.weight, 0), maxNodeWeight)
	if weight == 0 || math.IsNaN(e.logSum) || math.IsNaN(e.weight) {
		return speedEvidence{}
	}
	mean := min(max(e.logSum/e.weight, -math.Log(maxSlowness)), math.Log(maxSlowness))
	return speedEvidence{mean * weight, weight}
}

// speedState is what a node knows of an upstream's speed.
type speedState struct {
	// own is this node's evidence as of ownAt, others that of all other nodes as of othersAt.
	own, others     speedEvidence
	ownAt, othersAt time.Time
	// total is both as of totalAt, which spares each choice one of the decays.
	total   speedEvidence
	totalAt time.Time
	// machine is how long work takes on the upstream's machine by its own report, relative to
	// the usual; received at machineAt.
	machine   float64
	machineAt time.Time
}

// add adds an observation to this node's evidence: the logarithm of the relative time.
func (s *speedState) add(logRelative float64, now time.Time) {
	e := s.own.decayed(now.Sub(s.ownAt))
	s.own, s.ownAt = speedEvidence{e.logSum + logRelative, e.weight + 1}.bounded(), now
	s.addUp(now)
}

// setOthers sets the evidence of all other nodes.
func (s *speedState) setOthers(e speedEvidence, now time.Time) {
	s.others, s.othersAt = e, now
	s.addUp(now)
}

// addUp renews the total.
func (s *speedState) addUp(now time.Time) {
	own, others := s.own.decayed(now.Sub(s.ownAt)), s.others.decayed(now.Sub(s.othersAt))
	s.total, s.totalAt = speedEvidence{own.logSum + others.logSum, own.weight + others.weight}, now
}

// lasting returns the upstream's estimated slowness, shrunk towards the usual while few
// streams were observed.
func (s *speedState) lasting(now time.Time) float64 {
	if s.total.weight == 0 {
		return 1
	}
	total := s.total.decayed(now.Sub(s.totalAt))
	return math.Exp(total.logSum / (total.weight + slownessPrior))
}

// momentary returns the slow-down by other work on the upstream's machine.
func (s *speedState) momentary(now time.Time) float64 {
	age := now.Sub(s.machineAt)
	if s.machineAt.IsZero() || age > machineReportMemory {
		return 1
	}
	return 1 + (s.machine-1)*math.Exp2(-float64(max(age, 0))/float64(machineHalfLife))
}

// slowness returns how long the upstream takes for work relative to the usual upstream of its
// service; 1 if its service's upstreams do not report their machines.
func (f *Fleet) slowness(u *Upstream, now time.Time) float64 {
	if u.usage == unused || !f.usual.tracks(u.Service) {
		return 1
	}
	s := &u.speed
	slowness := min(max(s.lasting(now)*s.momentary(now), 1/maxSlowness), maxSlowness)
	if f.IsPlain(u.Service) && slowness < plainSlowness {
		return 1
	}
	return slowness
}

// ReportMachine records how long work takes on an upstream's machine at this moment, relative
// to the usual. From the first report on, the speeds of the service's upstreams are observed;
// first is true for that one.
func (f *Fleet) ReportMachine(u *Upstream, relative float64, now time.Time) (first bool) {
	first = f.usual.track(u.Service)
	u.use()
	u.speed.machine, u.speed.machineAt = min(max(relative, 1/maxSlowness), maxSlowness), now
	return first
}

// ObservePause records the mean pause between the events of an attempt's stream. A single
// stream counts as at most four times slower or quicker than usual: its caller may read slowly.
func (f *Fleet) ObservePause(u *Upstream, w *Work, pause time.Duration, now time.Time) {
	if pause <= 0 || !f.usual.tracks(u.Service) {
		return
	}
	f.observeSpeed(u, math.Log(min(max(f.usual.relative(w.key, pause), 1/maxSlowness), maxSlowness)), now)
}

// observeSpeed records one observation of an upstream's speed: the logarithm of the time that
// it took relative to the usual.
func (f *Fleet) observeSpeed(u *Upstream, logRelative float64, now time.Time) {
	u.use()
	u.speed.add(logRelative, now)
	if f.byID[u.ID] == u {
		f.observed[u] = struct{}{}
	}
}

// Slowness describes what this node knows of an upstream's speed: the lasting and the momentary
// factor, the weight of the lasting one in observed streams, and the age of the last report of
// its machine, 0 without one. known is false if the service's upstreams do not report their
// machines.
func (f *Fleet) Slowness(u *Upstream, now time.Time) (lasting, momentary, weight float64, age time.Duration, known bool) {
	if !f.usual.tracks(u.Service) {
		return 1, 1, 0, 0, false
	}
	s := &u.speed
	if !s.machineAt.IsZero() {
		age = now.Sub(s.machineAt)
	}
	return s.lasting(now), s.momentary(now), s.total.decayed(now.Sub(s.totalAt)).weight, age, true
}
