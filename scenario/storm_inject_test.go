package scenario

import (
	"math/rand/v2"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minFreeEntries is the number of undisturbed entries that remain in service.
	minFreeEntries = 4
	platformBusy   = "platform"
	outageBusy     = "outage"
)

// inject injects a fault. It returns a function that ends the fault and a description. Both
// are empty if other active faults do not allow it.
func (s *storm) inject(kind faultKind, rng *rand.Rand) (end func() error, what string, err error) {
	switch kind {
	case entryKilled:
		return s.killEntry(rng)
	case entryStopped:
		return s.stopEntry(rng)
	case entryFrozen:
		return s.freezeEntry(rng)
	case linkCut, linkSlow:
		return s.disturbLink(kind, rng)
	case engineKilled:
		return s.killUpstream(&s.engines, s.newEngine, rng)
	case engineFault:
		return s.faultAt(s.engines[rng.IntN(len(s.engines))], engineFaults[rng.IntN(len(engineFaults))])
	case serviceFault:
		return s.faultAt(s.services[rng.IntN(len(s.services))], serviceFaults[rng.IntN(len(serviceFaults))])
	case serviceKilled:
		return s.killUpstream(&s.services, s.newService, rng)
	case platformFault:
		return s.faultPlatform(platformBusy, platformFaults[rng.IntN(len(platformFaults))])
	case platformOutage:
		return s.faultPlatform(outageBusy, platformDown)
	case presetChanged:
		return s.changePreset(rng)
	}
	panic("unknown fault kind")
}

// pickEntry draws an entry without an active fault, if enough others remain.
func (s *storm) pickEntry(rng *rand.Rand) (stormEntry, bool) {
	var candidates []stormEntry
	for _, e := range s.entries {
		if !s.busy[e.id] {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) <= minFreeEntries {
		return stormEntry{}, false
	}
	return candidates[rng.IntN(len(candidates))], true
}

func (s *storm) remove(e stormEntry) {
	s.entries = slices.DeleteFunc(s.entries, func(x stormEntry) bool { return x == e })
	s.toUnlist = append(s.toUnlist, e.id)
}

// tryUnlist calls unlist and ignores the error: the platform may be unavailable.
func (s *storm) tryUnlist() error {
	_ = s.unlist() // verifyRecovery retries
	return nil
}

// killEntry kills an entry and starts a replacement.
func (s *storm) killEntry(rng *rand.Rand) (func() error, string, error) {
	e, ok := s.pickEntry(rng)
	if !ok || !s.allowLoss() {
		return nil, "", nil
	}
	p, err := s.cluster.process(e.id)
	if err != nil {
		return nil, "", err
	}
	p.kill()
	s.remove(e)
	return s.tryUnlist, e.id, s.newEntry(e.domain)
}

// stopEntry replaces an entry by a planned stop.
func (s *storm) stopEntry(rng *rand.Rand) (func() error, string, error) {
	e, ok := s.pickEntry(rng)
	if !ok {
		return nil, "", nil
	}
	p, err := s.cluster.process(e.id)
	if err != nil {
		return nil, "", err
	}
	s.remove(e)
	s.stopping = append(s.stopping, p)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return nil, "", err
	}
	return s.tryUnlist, e.id, s.newEntry(e.domain)
}

func (s *storm) freezeEntry(rng *rand.Rand) (func() error, string, error) {
	e, ok := s.pickEntry(rng)
	if !ok {
		return nil, "", nil
	}
	p, err := s.cluster.process(e.id)
	if err != nil {
		return nil, "", err
	}
	s.busy[e.id] = true
	thaw := func() error {
		delete(s.busy, e.id)
		return s.cluster.freeze(p, false)
	}
	return thaw, e.id, s.cluster.freeze(p, true)
}

// disturbLink cuts or slows the link between an entry and the platform or another entry.
func (s *storm) disturbLink(kind faultKind, rng *rand.Rand) (func() error, string, error) {
	e, ok := s.pickEntry(rng)
	if !ok {
		return nil, "", nil
	}
	other := platformID
	if rng.IntN(2) == 0 {
		other = s.entries[rng.IntN(len(s.entries))].id
	}
	if other == e.id {
		return nil, "", nil
	}
	s.busy[e.id] = true
	gate := s.cluster.network.gate(e.id, other)
	if kind == linkCut {
		gate.cut()
	} else {
		gate.slow(time.Duration(1+rng.IntN(100)) * time.Millisecond)
	}
	heal := func() error {
		delete(s.busy, e.id)
		gate.heal()
		gate.slow(0)
		return nil
	}
	return heal, e.id + " and " + other, nil
}

// killUpstream kills one of the upstreams and starts a replacement.
func (s *storm) killUpstream(ids *[]string, replace func() error, rng *rand.Rand) (func() error, string, error) {
	i := rng.IntN(len(*ids))
	id := (*ids)[i]
	if s.busy[id] {
		return nil, "", nil
	}
	p, err := s.cluster.process(id)
	if err != nil {
		return nil, "", err
	}
	if err := s.cluster.kill(p); err != nil {
		return nil, "", err
	}
	*ids = slices.Delete(*ids, i, i+1)
	s.toUnlist = append(s.toUnlist, id)
	return s.tryUnlist, id, replace()
}

func (s *storm) faultAt(id string, f jsonFault) (func() error, string, error) {
	if s.busy[id] {
		return nil, "", nil
	}
	s.busy[id] = true
	end := func() error {
		delete(s.busy, id)
		return s.cluster.fault(id, f.clear)
	}
	return end, id + " " + f.set, s.cluster.fault(id, f.set)
}

func (s *storm) faultPlatform(why, settings string) (func() error, string, error) {
	if s.busy[platformBusy] || s.busy[outageBusy] {
		return nil, "", nil
	}
	s.busy[why] = true
	s.platformFaultAt = time.Now()
	end := func() error {
		s.platformFaultAt = time.Now()
		delete(s.busy, why)
		return s.cluster.fault(platformID, platformClear)
	}
	return end, settings, s.cluster.fault(platformID, settings)
}

// changePreset changes the preset as an operator; during an outage the change may fail.
func (s *storm) changePreset(rng *rand.Rand) (func() error, string, error) {
	e := s.entries[rng.IntN(len(s.entries))]
	if s.busy[e.id] {
		return nil, "", nil
	}
	preset := []string{"ordinary", "peak", "maintenance"}[rng.IntN(3)]
	out, err := s.cluster.runAdmin(e.id, "preset", preset)
	if err != nil {
		return nil, preset + " at " + e.id + ": " + strings.TrimSpace(out), nil
	}
	if _, after, ok := strings.Cut(out, "accepted revision "); ok {
		revision, err := strconv.Atoi(strings.Fields(after)[0])
		if err != nil || revision <= s.accepted {
			return nil, "", eris.Errorf("accepted revision %q does not follow revision %d", after, s.accepted)
		}
		s.accepted = revision
	}
	return nil, preset + " at " + e.id, nil
}

func (s *storm) admin(args ...string) error {
	url, err := s.cluster.platformURL("operator")
	if err != nil {
		return err
	}
	out, err := exec.Command(binary, append(append([]string{"admin"}, args...), "--platform", url)...).CombinedOutput()
	return eris.Wrapf(err, "%s", out)
}
